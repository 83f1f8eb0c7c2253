import type { Event, EventName, Stamp } from '@toucanline/schema';
import type { Clock } from './Clock.js';
import type { EventFields } from './EventFields.js';
import type { EventStream } from './EventStream.js';
import { HybridLogicalClock } from './HybridLogicalClock.js';

/** Number of events that a process keeps for the timeline. */
const maxEvents = 20_000;

/** Records the events of one process in a ring buffer and emits them to a stream. */
export class EventRecorder {
  readonly #clock: HybridLogicalClock;
  readonly #stream: EventStream;
  readonly #process: string;
  readonly #dataCentre: string;
  readonly #events: Event[] = [];
  #nextIndex = 0;
  #unsent: Event[] = [];

  /**
   * @param clock - source of the wall time
   * @param stream - stream to which the events are emitted
   * @param process - name of this process
   * @param dataCentre - data centre of this process
   */
  public constructor(clock: Clock, stream: EventStream, process: string, dataCentre: string) {
    this.#clock = new HybridLogicalClock(clock);
    this.#stream = stream;
    this.#process = process;
    this.#dataCentre = dataCentre;
  }

  /**
   * Advances the logical clock past a stamp from another process.
   *
   * @param stamp - the received stamp
   */
  public observe(stamp: Stamp): void {
    this.#clock.observe(stamp);
  }

  /**
   * Creates the stamp of a message to another process.
   *
   * @returns a stamp greater than those of all earlier events
   */
  public stamp(): Stamp {
    return this.#clock.tick();
  }

  /**
   * Records an event.
   *
   * @param name - name of the event
   * @param fields - fields that apply to the event
   */
  public record(name: EventName, fields: EventFields = {}): void {
    const event: Event = {
      stamp: this.#clock.tick(),
      process: this.#process,
      dataCentre: this.#dataCentre,
      name,
      ...fields,
    };
    this.#events[this.#nextIndex] = event;
    this.#nextIndex = (this.#nextIndex + 1) % maxEvents;
    if (this.#unsent.length === 0) void Promise.resolve().then(() => this.#send());
    this.#unsent.push(event);
  }

  /** Events of one turn of the event loop are emitted together: a cancellation of 5,000 requests records 10,000. */
  #send(): Promise<void> {
    const events = this.#unsent;
    this.#unsent = [];
    return this.#stream.emit('events', events);
  }

  /**
   * Lists recorded events in the order of their stamps.
   *
   * @param sinceMs - wall time of the oldest event wanted, in milliseconds
   * @param requestId - if given, only events of this request are listed
   * @returns the events that are still in the buffer
   */
  public list(sinceMs: number, requestId?: string): readonly Event[] {
    const ordered = [
      ...this.#events.slice(this.#nextIndex),
      ...this.#events.slice(0, this.#nextIndex),
    ];
    return ordered.filter(
      (event) =>
        event.stamp.wallMs >= sinceMs && (requestId === undefined || event.requestId === requestId),
    );
  }
}
