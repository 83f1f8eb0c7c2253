import type { EventLog } from './EventLog.js';

/** Whether the store answers this host, by the outcomes of the calls that it makes. */
export class StoreHealth {
  readonly #log: EventLog;
  #isReachable = false;
  #lastAnswerAt = -Infinity;

  /** @param log - log of the process */
  public constructor(log: EventLog) {
    this.#log = log;
  }

  /** Whether the newest call with a known outcome was answered. */
  public get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Time since the store last answered, in milliseconds. */
  public get lastAnswerAgeMs(): number {
    return performance.now() - this.#lastAnswerAt;
  }

  /**
   * Takes the outcome of a call. A call that failed says nothing if another one was answered after it was sent: it may
   * have been sent while the store was away, or have been the only one that was lost.
   *
   * @param isAnswered - whether the store answered
   * @param sentAt - when the call was sent, on the monotonic clock
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
