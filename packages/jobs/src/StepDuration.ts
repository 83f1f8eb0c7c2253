/** Variance of the logarithm of a declared duration: measured on the users' days, a standard deviation of 0.49. */
const declaredVariance = 0.24;
/** Variance of the logarithm of durations within a step on equal workers: a standard deviation of 0.18. */
const taskVariance = 0.033;

/** Estimates how long the tasks of one step take on a mean worker, from the declared duration and from those done. */
export class StepDuration {
  #logSum = 0;
  #count = 0;

  /**
   * Learns from a finished task.
   *
   * @param logMs - logarithm of the duration that it would have on a mean worker
   */
  public record(logMs: number): void {
    this.#logSum += logMs;
    this.#count += 1;
  }

  /**
   * Estimates the duration of a further task.
   *
   * @param declaredMs - declared or learned duration in milliseconds
   * @returns logarithm of the duration in milliseconds, and its variance for one task
   */
  public estimate(declaredMs: number): { readonly logMs: number; readonly variance: number } {
    const precision = 1 / declaredVariance + this.#count / taskVariance;
    const weighted =
      Math.log(Math.max(1, declaredMs)) / declaredVariance + this.#logSum / taskVariance;
    return { logMs: weighted / precision, variance: 1 / precision + taskVariance };
  }
}
