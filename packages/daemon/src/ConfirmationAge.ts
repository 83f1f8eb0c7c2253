/**
 * Time since the last confirmation. The larger value of two clocks is used: the monotonic clock stops while the host
 * is suspended, and the wall clock may be set back.
 */
export class ConfirmationAge {
  #confirmedAtMonotonicMs = -Infinity;
  #confirmedAtWallMs = 0;

  /**
   * Records a confirmation. One that was requested before the latest is ignored.
   *
   * @param monotonicAt - monotonic time in milliseconds before the confirmation was requested
   * @param wallAt - wall-clock time in milliseconds at that moment
   */
  public confirm(monotonicAt: number, wallAt: number): void {
    if (monotonicAt < this.#confirmedAtMonotonicMs) return;
    this.#confirmedAtMonotonicMs = monotonicAt;
    this.#confirmedAtWallMs = wallAt;
  }

  /**
   * Computes the time since the last confirmation.
   *
   * @returns milliseconds; infinite if nothing was confirmed
   */
  public computeMs(): number {
    return Math.max(
      performance.now() - this.#confirmedAtMonotonicMs,
      Date.now() - this.#confirmedAtWallMs,
    );
  }
}
