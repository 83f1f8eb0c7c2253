import type { Event, EventCopy, EventsNotice } from '@toucanline/schema';
import { requestEndEvents } from './requestEndEvents.js';

/** Processes whose events are kept; the one that was silent for longest is forgotten first. */
const maxProcesses = 24;
/** Events kept per process, of each of two groups, so that ends of requests displace nothing else. */
const maxEvents = 100;

/** Events of one process, oldest first. */
interface ProcessEvents {
  readonly dataCentre: string;
  readonly ends: readonly EventCopy[];
  readonly others: readonly EventCopy[];
}

/** Keeps events for other processes, in case these are killed. */
export class EventArchive {
  readonly #process: string;
  /** In the order of the last notices. */
  readonly #eventsByProcess = new Map<string, ProcessEvents>();

  /** @param process - name of this process */
  public constructor(process: string) {
    this.#process = process;
  }

  /**
   * Keeps the events of a notice.
   *
   * @param process - name of the sender
   * @param dataCentre - data centre of the sender
   * @param notice - the notice
   */
  public add(process: string, dataCentre: string, { events }: EventsNotice): void {
    const known = this.#eventsByProcess.get(process);
    const isEnd = ({ name }: EventCopy): boolean => requestEndEvents.has(name);
    const ends = [...(known?.ends ?? []), ...events.filter(isEnd)].slice(-maxEvents);
    const added = events.filter((event) => !isEnd(event));
    const others = [...(known?.others ?? []), ...added].slice(-maxEvents);
    this.#eventsByProcess.delete(process);
    this.#eventsByProcess.set(process, { dataCentre, ends, others });
    const [oldest] = this.#eventsByProcess.keys();
    if (this.#eventsByProcess.size > maxProcesses && oldest !== undefined)
      this.#eventsByProcess.delete(oldest);
  }

  /**
   * Lists kept events.
   *
   * @param sinceMs - wall time of the oldest event wanted, in milliseconds
   * @param requestId - restricts the list to one request
   * @returns the events, marked as copies that this process kept
   */
  public list(sinceMs: number, requestId?: string): readonly Event[] {
    return [...this.#eventsByProcess].flatMap(([process, { dataCentre, ends, others }]) =>
      [...others, ...ends]
        .filter(
          (event) =>
            event.stamp.wallMs >= sinceMs &&
            (requestId === undefined || event.requestId === requestId),
        )
        .map((event) => ({ ...event, process, dataCentre, keptBy: this.#process })),
    );
  }
}
