/**
 * Age of something that was confirmed, on the larger of two clocks: the monotonic clock stands still while the
 * host is suspended, the wall clock may be set back.
 */
export class ConfirmationAge {
  #monotonicAt = -Infinity;
  #wallAt = 0;

  /**
   * Notes a confirmation.
   *
   * @param monotonicAt - monotonic time before the confirmation was asked for
   * @param wallAt - wall time at that moment
   */
  public confirm(monotonicAt: number, wallAt: number): void {
    if (monotonicAt < this.#monotonicAt) return;
    this.#monotonicAt = monotonicAt;
    this.#wallAt = wallAt;
  }

  /**
   * Reads the age.
   *
   * @returns milliseconds; infinite if nothing was confirmed
   */
  public read(): number {
    return Math.max(performance.now() - this.#monotonicAt, Date.now() - this.#wallAt);
  }
}
