import type { Clock } from './Clock.js';

/**
 * Time since this process last knew that its key list was the newest: from the store itself, or from a
 * peer that told how long its own knowledge was old. Ages need no clocks that agree.
 */
export class KeyListAge {
  readonly #clock: Clock;
  #confirmedAt = -Infinity;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Age of the knowledge in milliseconds; infinite before the first contact. */
  public get ageMs(): number {
    return this.#clock.now() - this.#confirmedAt;
  }

  /**
   * Notes a contact.
   *
   * @param ageMs - how old the knowledge was that the contact gave, in milliseconds
   */
  public confirm(ageMs: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#clock.now() - ageMs);
  }
}
