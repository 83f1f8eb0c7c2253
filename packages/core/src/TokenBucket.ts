/** Token bucket that limits the rate of calls to a shared system: a burst at first, then a steady rate. */
export class TokenBucket {
  readonly #burst: number;
  readonly #tokensPerSecond: number;
  #tokens: number;
  #refilledAt: number;

  /**
   * @param burst - number of calls that may be made without delay
   * @param tokensPerSecond - sustained rate, in calls per second
   * @param now - monotonic time in milliseconds
   */
  public constructor(burst: number, tokensPerSecond: number, now: number) {
    this.#burst = burst;
    this.#tokensPerSecond = tokensPerSecond;
    this.#tokens = burst;
    this.#refilledAt = now;
  }

  /**
   * Takes a token for one call.
   *
   * @param now - monotonic time in milliseconds
   * @returns true if a token was left and the call may be made
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
