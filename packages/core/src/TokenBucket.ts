/** Bounds the rate of calls to a shared system: a burst at most, then a steady rate. */
export class TokenBucket {
  readonly #burst: number;
  readonly #tokensPerSecond: number;
  #tokens: number;
  #refilledAt: number;

  /**
   * @param burst - calls that may follow each other at once
   * @param perSecond - calls per second after that
   * @param now - local monotonic time in milliseconds
   */
  public constructor(burst: number, perSecond: number, now: number) {
    this.#burst = burst;
    this.#tokensPerSecond = perSecond;
    this.#tokens = burst;
    this.#refilledAt = now;
  }

  /**
   * Takes a call from the budget.
   *
   * @param now - local monotonic time in milliseconds
   * @returns true if the call may be made
   */
  public takeToken(now: number): boolean {
    const gained = ((now - this.#refilledAt) / 1000) * this.#tokensPerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#refilledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
