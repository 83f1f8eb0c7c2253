import type { Clock } from './Clock.js';

/**
 * Measures the time since this process last knew that its key list was the newest, either from the store or
 * from a peer that reported the age of its own knowledge. Ages are exchanged instead of times, so the clocks
 * of processes need not agree.
 */
export class KeyListAge {
  readonly #clock: Clock;
  #confirmedAt = -Infinity;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Age in milliseconds; infinite before the first confirmation. */
  public get ageMs(): number {
    return this.#clock.now() - this.#confirmedAt;
  }

  /**
   * Records that the key list was confirmed to be the newest.
   *
   * @param ageMs - age of the confirmation in milliseconds; 0 if it is from now
   */
  public confirm(ageMs: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#clock.now() - ageMs);
  }
}
