import type { EventLog } from './EventLog.js';

/** Tracks whether the store answers this host, by the outcomes of its calls. */
export class StoreHealth {
  readonly #log: EventLog;
  #isReachable = false;
  #lastAnswerAt = -Infinity;

  /** @param log - event log of this process */
  public constructor(log: EventLog) {
    this.#log = log;
  }

  /** Whether the store answered, judging by the latest recorded outcome. */
  public get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Time since the store last answered, in milliseconds. */
  public get lastAnswerAgeMs(): number {
    return performance.now() - this.#lastAnswerAt;
  }

  /**
   * Records the outcome of a call. A failed call is ignored if another call was answered after it was sent: it may have
   * been sent during an outage that has ended since, or be the only call that was lost.
   *
   * @param isAnswered - whether the store answered the call
   * @param sentAt - monotonic time at which the call was sent, in milliseconds
   */
  public recordOutcome(isAnswered: boolean, sentAt: number): void {
    if (!isAnswered && this.#lastAnswerAt > sentAt) return;
    if (isAnswered !== this.#isReachable) {
      this.#log.write(isAnswered ? 'storeRegained' : 'storeLost', {
        silenceMs: Math.round(Math.min(this.lastAnswerAgeMs, 1e9)),
      });
    }
    this.#isReachable = isAnswered;
    if (isAnswered) this.#lastAnswerAt = performance.now();
  }
}
