/** Maximum relative drift between the clocks of two hosts. */
const maxDriftFraction = 0.01;

/**
 * Bounds of a worker's monotonic clock, derived from its last report. The worker made the report at some time
 * between the sending of the poll and the receipt of the response.
 */
export class WorkerClock {
  readonly #sentAt: number;
  readonly #receivedAt: number;
  readonly #clockMs: number;

  /**
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   * @param receivedAt - local monotonic time after the report was received, in milliseconds
   * @param clockMs - the worker's monotonic clock in the report, in milliseconds since its boot
   */
  public constructor(sentAt: number, receivedAt: number, clockMs: number) {
    this.#sentAt = sentAt;
    this.#receivedAt = receivedAt;
    this.#clockMs = clockMs;
  }

  /** The worker's clock at the time of the report, in milliseconds. */
  public get reportedClockMs(): number {
    return this.#clockMs;
  }

  /** Local monotonic time by which the worker had certainly booted, in milliseconds. */
  public get latestBootAt(): number {
    return this.#receivedAt - this.#clockMs * (1 - maxDriftFraction);
  }

  /**
   * Calculates a lower bound of the worker's clock.
   *
   * @param now - monotonic time in milliseconds
   * @returns time that the worker's clock has certainly reached, in milliseconds
   */
  public calculateLowerBoundMs(now: number): number {
    return this.#clockMs + Math.max(0, now - this.#receivedAt) * (1 - maxDriftFraction);
  }

  /**
   * Calculates an upper bound of the worker's clock.
   *
   * @param now - monotonic time in milliseconds
   * @returns time that the worker's clock has certainly not exceeded, in milliseconds
   */
  public calculateUpperBoundMs(now: number): number {
    return this.#clockMs + Math.max(0, now - this.#sentAt) * (1 + maxDriftFraction);
  }
}
