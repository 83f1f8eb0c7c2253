/** Accepts jobs of an account at the rate of its weight; what comes beyond has its turn later. */
export class JobRateLimiter {
  /** Seconds of the rate that may come at once: callers send in bursts. */
  static readonly #burstSeconds = 2;
  #tokens: number | undefined;
  #updatedAt = 0;

  /**
   * Counts a job.
   *
   * @param perSecond - entitled jobs per second
   * @param now - monotonic time of the job
   * @returns whether it is within the rate
   */
  public takeToken(perSecond: number, now: number): boolean {
    const most = Math.max(1, perSecond * JobRateLimiter.#burstSeconds);
    const earned = ((now - this.#updatedAt) / 1000) * perSecond;
    this.#tokens = this.#tokens === undefined ? most : Math.min(most, this.#tokens + earned);
    this.#updatedAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
