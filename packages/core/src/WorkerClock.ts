/** Largest relative difference in speed between the clocks of two hosts. */
const maxDriftFraction = 0.01;

/**
 * Bounds of a worker's monotonic clock, derived from its last report. The report was made at some
 * moment between sending the poll and receiving the response.
 */
export class WorkerClock {
  readonly #sentAt: number;
  readonly #receivedAt: number;
  readonly #clockMs: number;

  /**
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   * @param receivedAt - local monotonic time after the report arrived, in milliseconds
   * @param clockMs - the worker's clock in the report, in milliseconds
   */
  public constructor(sentAt: number, receivedAt: number, clockMs: number) {
    this.#sentAt = sentAt;
    this.#receivedAt = receivedAt;
    this.#clockMs = clockMs;
  }

  /** The worker's clock when it made the report, in milliseconds. */
  public get reportedClockMs(): number {
    return this.#clockMs;
  }

  /** Local monotonic time by which the worker had certainly booted, in milliseconds. */
  public get latestBootAt(): number {
    return this.#receivedAt - this.#clockMs * (1 - maxDriftFraction);
  }

  /**
   * Lower bound of the worker's clock.
   *
   * @param now - local monotonic time in milliseconds
   * @returns milliseconds on the worker's clock that have certainly passed
   */
  public calculateLowerBoundMs(now: number): number {
    return this.#clockMs + Math.max(0, now - this.#receivedAt) * (1 - maxDriftFraction);
  }

  /**
   * Upper bound of the worker's clock.
   *
   * @param now - local monotonic time in milliseconds
   * @returns milliseconds that the worker's clock has certainly not exceeded
   */
  public calculateUpperBoundMs(now: number): number {
    return this.#clockMs + Math.max(0, now - this.#sentAt) * (1 + maxDriftFraction);
  }
}
