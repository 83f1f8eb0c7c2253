/** Source of time. Implementations belong to the host environment. */
export abstract class Clock {
  /**
   * Reads the monotonic clock.
   *
   * @returns milliseconds since an arbitrary start; never decreases
   */
  public abstract now(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch; may jump
   */
  public abstract wallTime(): number;

  /**
   * Waits without blocking the loop.
   *
   * @param ms - duration in milliseconds
   * @returns a promise that resolves after the duration
   */
  public abstract sleep(ms: number): Promise<void>;
}
