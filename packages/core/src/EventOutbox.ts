import type { Event, EventCopy, EventName, EventsNotice, Stamp } from '@toucanline/schema';
import { requestEndEvents } from './requestEndEvents.js';

/** Events that wait for the next batch. One batch has all of them, so a notice is bounded too. */
const maxPending = 40;
/** Events that may be handed over in a burst, and a second in the long run. */
const maxTokens = 40;
const tokensPerSecond = 0.5;
/** Ends of requests leave this many tokens to rarer events, such as the claim after a takeover. */
const reservedTokens = 20;
/** Shortest time between two counts of dropped events. */
const dropReportMs = 5000;
/** Length at which details are cut. */
const maxDetailLength = 80;

/**
 * Rare events that tell why a process ended and what it did. Left out are `workerJoined`, because each worker
 * joins at each takeover, and the changes of links, which the process at the other end records as well.
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

/** Decides which events of this process are handed to peers: at a bounded rate, dropping what exceeds it. */
export class EventOutbox {
  readonly #createStamp: () => Stamp;
  #pending: EventCopy[] = [];
  #tokens = maxTokens;
  #refilledAt = 0;
  #dropped = 0;
  #reportedDropped = 0;
  #reportedAt = -Infinity;

  /** @param createStamp - stamps the count of dropped events */
  public constructor(createStamp: () => Stamp) {
    this.#createStamp = createStamp;
  }

  /** Whether events wait to be handed over. */
  public get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Adds those events that peers shall keep.
   *
   * @param events - events of this process
   * @param now - local monotonic time in milliseconds
   */
  public add(events: readonly Event[], now: number): void {
    const passedMs = now - this.#refilledAt;
    this.#tokens = Math.min(maxTokens, this.#tokens + (passedMs * tokensPerSecond) / 1000);
    this.#refilledAt = now;
    for (const event of events) {
      const isEnd = requestEndEvents.has(event.name);
      if (!isEnd && !copiedEvents.has(event.name)) continue;
      const mayAdd = this.#tokens >= 1 + (isEnd ? reservedTokens : 0);
      if (!mayAdd || this.#pending.length >= maxPending) {
        this.#dropped += 1;
        continue;
      }
      this.#tokens -= 1;
      this.#pending.push(copyEvent(event));
    }
  }

  /**
   * Takes what waits, with the count of dropped events if it grew.
   *
   * @param now - local monotonic time in milliseconds
   * @returns the notice for the peers; undefined if nothing waits
   */
  public takeNotice(now: number): EventsNotice | undefined {
    if (!this.hasPending) return undefined;
    const events = this.#pending;
    this.#pending = [];
    const isCounted =
      this.#dropped === this.#reportedDropped || now - this.#reportedAt < dropReportMs;
    if (!isCounted) {
      this.#reportedDropped = this.#dropped;
      this.#reportedAt = now;
      const detail = `${this.#dropped} events since the start of the process have no copy`;
      events.push({ stamp: this.#createStamp(), name: 'eventsDropped', detail });
    }
    return { notice: 'events', events };
  }

  /**
   * Notes that a peer that reads too slowly did not get a notice.
   *
   * @param notice - the notice
   */
  public countDropped({ events }: EventsNotice): void {
    this.#dropped += events.length;
  }
}
