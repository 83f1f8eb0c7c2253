/** Variance of the logarithm of a new worker's factor: most are within half and twice the mean. */
const priorVariance = 0.25;
/** Variance of a factor that an earlier leader learned. */
const inheritedVariance = 0.02;
/** Growth of the variance per second: lets the estimate follow a worker that becomes slow or sound again. */
const driftPerSecond = 0.003;
/** Residuals beyond this many standard deviations mean that the worker has changed. */
const outlierDeviations = 3;

/** Estimates how long tasks take on one worker, relative to the mean of the fleet: a Kalman filter of one variable. */
export class WorkerSpeed {
  #logDurationFactor = 0;
  #variance = priorVariance;
  #updatedAt = 0;

  /** Duration of a task on this worker relative to the mean. */
  public get durationFactor(): number {
    return Math.exp(this.#logDurationFactor);
  }

  /** Logarithm of the factor. */
  public get logDurationFactor(): number {
    return this.#logDurationFactor;
  }

  /** @param factor - factor that an earlier leader learned */
  public restore(factor: number): void {
    this.#logDurationFactor = Math.log(factor);
    this.#variance = inheritedVariance;
  }

  /**
   * Learns from a finished task.
   *
   * @param logRatio - logarithm of its duration relative to the expected one
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
