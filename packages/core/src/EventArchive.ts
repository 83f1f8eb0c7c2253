import type { Event, EventCopy, EventsNotice } from '@toucanline/schema';
import { requestEndEvents } from './requestEndEvents.js';

/** Number of processes whose events are kept; the one with the oldest last notice is evicted first. */
const maxProcesses = 24;
/** Events kept per process in each of two groups, so that ends of requests do not evict other events. */
const maxEvents = 100;

/** Events of one process, oldest first. */
interface ProcessEvents {
  readonly dataCentre: string;
  /** Ends of requests. */
  readonly ends: readonly EventCopy[];
  /** All other events. */
  readonly others: readonly EventCopy[];
}

/** Keeps copies of the events of other processes, so that they survive if those processes are killed. */
export class EventArchive {
  readonly #process: string;
  /** Events by process, ordered by the time of the last notice, oldest first. */
  readonly #eventsByProcess = new Map<string, ProcessEvents>();

  /** @param process - name of this process */
  public constructor(process: string) {
    this.#process = process;
  }

  /**
   * Adds the events of a notice.
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
   * Lists the kept events since a time.
   *
   * @param sinceMs - wall time of the oldest event wanted, in milliseconds
   * @param requestId - if given, only events of this request are listed
   * @returns the events, each marked as a copy kept by this process
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
