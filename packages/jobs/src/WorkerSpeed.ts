/** Variance of the logarithm of a new worker's duration factor: most factors are between 0.5 and 2. */
const priorVariance = 0.25;
/** Variance of the logarithm of a duration factor that a previous leader learned. */
const inheritedVariance = 0.02;
/** Growth of the variance per second: lets the estimate follow a worker that becomes slow or recovers. */
const driftPerSecond = 0.003;
/** Number of standard deviations beyond which a residual means that the speed of the worker has changed. */
const outlierDeviations = 3;

/**
 * Estimates the duration of tasks on one worker relative to the mean of the fleet, with a one-dimensional Kalman
 * filter.
 */
export class WorkerSpeed {
  #logDurationFactor = 0;
  #variance = priorVariance;
  #updatedAt = 0;

  /** Duration of a task on this worker relative to the mean of the fleet; 2 means twice as long. */
  public get durationFactor(): number {
    return Math.exp(this.#logDurationFactor);
  }

  /** Natural logarithm of the duration factor. */
  public get logDurationFactor(): number {
    return this.#logDurationFactor;
  }

  /**
   * Restores an estimate.
   *
   * @param factor - duration factor that a previous leader learned
   */
  public restore(factor: number): void {
    this.#logDurationFactor = Math.log(factor);
    this.#variance = inheritedVariance;
  }

  /**
   * Updates the estimate with a finished task.
   *
   * @param logRatio - natural logarithm of its duration relative to the expected one
   * @param variance - variance of the logarithm of the expected duration
   * @param now - monotonic time in milliseconds
   */
  public observe(logRatio: number, variance: number, now: number): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = now;
    this.#variance = Math.min(priorVariance, this.#variance + (elapsedMs / 1000) * driftPerSecond);
    const residual = logRatio - this.#logDurationFactor;
    if (residual ** 2 > outlierDeviations ** 2 * (this.#variance + variance)) {
      this.#variance = priorVariance;
    }
    const gain = this.#variance / (this.#variance + variance);
    this.#logDurationFactor += gain * residual;
    this.#variance *= 1 - gain;
  }
}
