/** Source of time. The host environment implements it. */
export abstract class Clock {
  /**
   * Reads the monotonic clock.
   *
   * @returns milliseconds since an arbitrary origin; never decreases
   */
  public abstract now(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch; may jump in either direction
   */
  public abstract wallTime(): number;

  /**
   * Waits without blocking the event loop.
   *
   * @param ms - duration in milliseconds
   * @returns a promise that resolves after the duration
   */
  public abstract sleep(ms: number): Promise<void>;
}
