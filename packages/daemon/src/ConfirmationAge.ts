/**
 * Age of something that was confirmed, on the larger of two clocks: the monotonic clock stands still while the
 * host is suspended, the wall clock may be set back.
 */
export class ConfirmationAge {
  #confirmedAtMonotonicMs = -Infinity;
  #confirmedAtWallMs = 0;

  /**
   * Notes a confirmation.
   *
   * @param monotonicAt - monotonic time before the confirmation was asked for
   * @param wallAt - wall time at that moment
   */
  public confirm(monotonicAt: number, wallAt: number): void {
    if (monotonicAt < this.#confirmedAtMonotonicMs) return;
    this.#confirmedAtMonotonicMs = monotonicAt;
    this.#confirmedAtWallMs = wallAt;
  }

  /**
   * Reads the age.
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
