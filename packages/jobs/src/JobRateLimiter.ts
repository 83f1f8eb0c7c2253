/**
 * Token bucket that limits the jobs of an account to its entitled rate. Jobs beyond the rate are served after others.
 */
export class JobRateLimiter {
  /** Burst capacity in seconds of the rate: callers submit in bursts. */
  static readonly #burstSeconds = 2;
  #tokens: number | undefined;
  #updatedAt = -Infinity;

  /**
   * Takes a token for a job. Jobs are expected in the order of their acceptance; one from before the latest takes none,
   * since a new leader learns of finished jobs after the others.
   *
   * @param perSecond - entitled rate in jobs per second
   * @param now - monotonic time of acceptance, in milliseconds
   * @returns whether the job is within the rate
   */
  public takeToken(perSecond: number, now: number): boolean {
    if (now < this.#updatedAt) return true;
    const maxTokens = Math.max(1, perSecond * JobRateLimiter.#burstSeconds);
    const earnedTokens = ((now - this.#updatedAt) / 1000) * perSecond;
    this.#tokens = Math.min(maxTokens, (this.#tokens ?? maxTokens) + earnedTokens);
    this.#updatedAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
