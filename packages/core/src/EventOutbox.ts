import type { Event, EventCopy, EventName, EventsNotice, Stamp } from '@toucanline/schema';
import { requestEndEvents } from './requestEndEvents.js';

/** Maximum number of events waiting for the next notice. A notice carries all of them, so this also bounds its size. */
const maxPending = 40;
/** Token bucket of the events that are sent: burst size, and sustained rate per second. */
const maxTokens = 40;
const tokensPerSecond = 0.5;
/** Number of tokens that ends of requests leave for rarer events, such as the claim after a takeover. */
const reservedTokens = 20;
/** Shortest time between two reports of dropped events, in milliseconds. */
const dropReportMs = 5000;
/** Length to which details are truncated, in UTF-16 code units. */
const maxDetailLength = 80;

/**
 * Rare events that explain why a process ended and what it did; copies of them are sent to peers. Events that
 * are left out: `workerJoined`, because every worker joins after each takeover, and the changes of links, which
 * the process at the other end records as well.
 */
const copiedEvents: ReadonlySet<EventName> = new Set([
  'processStarted',
  'processStopping',
  'leaseLapsed',
  'workerLeaving',
  'workerLost',
  'workerQuarantined',
  'workerReleased',
  'claimTaken',
  'claimLost',
  'claimHandedOver',
  'recoveryFinished',
  'workReleased',
  'workTakenOver',
  'dataCentreDeclared',
  'revisionApplied',
  'keysApplied',
  'storeUnreachable',
  'storeReachable',
  'invariantViolated',
]);

const copyEvent = (event: Event): EventCopy => {
  const { stamp, name, requestId, taskId, worker, shard, epoch, revision } = event;
  const { durationMs, detail } = event;
  return {
    stamp,
    name,
    ...(requestId === undefined ? {} : { requestId }),
    ...(taskId === undefined ? {} : { taskId }),
    ...(worker === undefined ? {} : { worker }),
    ...(shard === undefined ? {} : { shard }),
    ...(epoch === undefined ? {} : { epoch }),
    ...(revision === undefined ? {} : { revision }),
    ...(durationMs === undefined ? {} : { durationMs: Math.round(durationMs) }),
    ...(detail === undefined ? {} : { detail: detail.slice(0, maxDetailLength) }),
  };
};

/**
 * Selects the events of this process that are copied to peers, at a limited rate. Events above the rate are dropped
 * and counted.
 */
export class EventOutbox {
  readonly #createStamp: () => Stamp;
  #pending: EventCopy[] = [];
  #tokens = maxTokens;
  #refilledAt = 0;
  #dropped = 0;
  #reportedDropped = 0;
  #reportedAt = -Infinity;

  /** @param createStamp - creates the stamp of the event that reports dropped events */
  public constructor(createStamp: () => Stamp) {
    this.#createStamp = createStamp;
  }

  /** Whether events are waiting to be sent. */
  public get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Adds the events that are copied to peers; others are ignored.
   *
   * @param events - events of this process
   * @param now - monotonic time in milliseconds
   */
  public add(events: readonly Event[], now: number): void {
    const passedMs = now - this.#refilledAt;
    this.#tokens = Math.min(maxTokens, this.#tokens + (passedMs * tokensPerSecond) / 1000);
    this.#refilledAt = now;
    for (const event of events) {
      const isEnd = requestEndEvents.has(event.name);
      if (!isEnd && !copiedEvents.has(event.name)) continue;
      const canAdd = this.#tokens >= 1 + (isEnd ? reservedTokens : 0);
      if (!canAdd || this.#pending.length >= maxPending) {
        this.#dropped += 1;
        continue;
      }
      this.#tokens -= 1;
      this.#pending.push(copyEvent(event));
    }
  }

  /**
   * Takes all waiting events. If the number of dropped events has grown, an event reports it.
   *
   * @param now - monotonic time in milliseconds
   * @returns the notice for the peers; undefined if no events are waiting
   */
  public takeNotice(now: number): EventsNotice | undefined {
    if (!this.hasPending) return undefined;
    const events = this.#pending;
    this.#pending = [];
    const isReported =
      this.#dropped === this.#reportedDropped || now - this.#reportedAt < dropReportMs;
    if (!isReported) {
      this.#reportedDropped = this.#dropped;
      this.#reportedAt = now;
      const detail = `${this.#dropped} events since the start of the process were not copied to peers`;
      events.push({ stamp: this.#createStamp(), name: 'eventsDropped', detail });
    }
    return { notice: 'events', events };
  }

  /**
   * Counts the events of a notice that was not sent because the peer reads too slowly.
   *
   * @param notice - the notice
   */
  public countDropped({ events }: EventsNotice): void {
    this.#dropped += events.length;
  }
}
