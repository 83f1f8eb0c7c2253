/** Variance of the logarithm of a declared duration: the users' load has a standard deviation of 0.49. */
const declaredVariance = 0.24;
/** Variance of the logarithm of durations within a step on equal workers: a standard deviation of 0.18. */
const taskVariance = 0.033;

/**
 * Estimates the duration of the tasks of one step on a worker of mean speed, from the declared duration and from the
 * tasks that are done.
 */
export class StepDuration {
  #logSum = 0;
  #count = 0;

  /**
   * Records the duration of a finished task.
   *
   * @param logMs - natural logarithm of the duration in milliseconds on a worker of mean speed
   */
  public record(logMs: number): void {
    this.#logSum += logMs;
    this.#count += 1;
  }

  /**
   * Estimates the duration of another task.
   *
   * @param declaredMs - declared duration, or mean duration of the image, in milliseconds
   * @returns natural logarithm of the duration in milliseconds, and its variance for one task
   */
  public estimate(declaredMs: number): { readonly logMs: number; readonly variance: number } {
    const precision = 1 / declaredVariance + this.#count / taskVariance;
    const weighted =
      Math.log(Math.max(1, declaredMs)) / declaredVariance + this.#logSum / taskVariance;
    return { logMs: weighted / precision, variance: 1 / precision + taskVariance };
  }
}
