/**
 * Estimates the duration of the tasks of one step on a worker of mean speed, from the declared duration and from the
 * tasks that are done.
 */
export class StepDuration {
  /** Variance of the logarithm of a declared duration: the users' load has a standard deviation of 0.49. */
  public static readonly declaredVariance = 0.24;
  /** Variance of the logarithm of durations within a step on equal workers: a standard deviation of 0.18. */
  public static readonly taskVariance = 0.033;
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
   * @param expectedMs - declared or learned duration, in milliseconds
   * @param expectedVariance - variance of the logarithm of the expected duration between steps
   * @returns natural logarithm of the duration in milliseconds, and its variance for one task
   */
  public estimate(
    expectedMs: number,
    expectedVariance: number,
  ): { readonly logMs: number; readonly variance: number } {
    const { taskVariance } = StepDuration;
    const precision = 1 / expectedVariance + this.#count / taskVariance;
    const weighted =
      Math.log(Math.max(1, expectedMs)) / expectedVariance + this.#logSum / taskVariance;
    return { logMs: weighted / precision, variance: 1 / precision + taskVariance };
  }
}
