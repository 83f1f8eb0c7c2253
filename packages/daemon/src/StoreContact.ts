import type { DecisionLog } from './DecisionLog.js';

/** Whether the store answers this host, by the outcomes of the calls that it makes. */
export class StoreContact {
  readonly #log: DecisionLog;
  #isAnswering = false;
  #lastAnswerAt = -Infinity;

  /** @param log - log of the process */
  public constructor(log: DecisionLog) {
    this.#log = log;
  }

  /** Whether the newest call with a known outcome was answered. */
  public get isAnswering(): boolean {
    return this.#isAnswering;
  }

  /** Time since the store last answered, in milliseconds. */
  public get silenceMs(): number {
    return performance.now() - this.#lastAnswerAt;
  }

  /**
   * Takes the outcome of a call. A call that failed says nothing if another one was answered after it was sent: it may
   * have been sent while the store was away, or have been the only one that was lost.
   *
   * @param isAnswered - whether the store answered
   * @param sentAt - when the call was sent, on the monotonic clock
   */
  public note(isAnswered: boolean, sentAt: number): void {
    if (!isAnswered && this.#lastAnswerAt > sentAt) return;
    if (isAnswered !== this.#isAnswering) {
      this.#log.write(isAnswered ? 'storeRegained' : 'storeLost', {
        silenceMs: Math.round(Math.min(this.silenceMs, 1e9)),
      });
    }
    this.#isAnswering = isAnswered;
    if (isAnswered) this.#lastAnswerAt = performance.now();
  }
}
