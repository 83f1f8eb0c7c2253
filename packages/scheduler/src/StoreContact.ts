import type { Clock } from '@toucanline/core';

/** Silence of the store before a candidate acts without it. */
const silenceMs = 4000;
/** Attempts in a row that the store left unanswered, so that a pause alone does not look like an outage. */
const minUnanswered = 3;

/** Tells whether the store answers this process, from the outcome of its attempts to claim a shard. */
export class StoreContact {
  readonly #clock: Clock;
  #unanswered = 0;
  #lastAnswerAt: number;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAnswerAt = clock.now();
  }

  /** Whether the last attempt was answered. */
  public get isAnswering(): boolean {
    return this.#unanswered === 0;
  }

  /** Whether the store was silent for so long that owners may be replaced without it. */
  public get isDown(): boolean {
    return this.#sinceAnswerMs > silenceMs && this.#unanswered >= minUnanswered;
  }

  /**
   * Checks whether the last answer is recent.
   *
   * @param maxAgeMs - oldest answer that counts, in milliseconds
   * @returns true if the last attempt was answered within that time
   */
  public isRecent(maxAgeMs: number): boolean {
    return this.isAnswering && this.#sinceAnswerMs < maxAgeMs;
  }

  /**
   * Notes the outcome of an attempt.
   *
   * @param isAnswered - whether the store answered
   */
  public note(isAnswered: boolean): void {
    this.#unanswered = isAnswered ? 0 : this.#unanswered + 1;
    if (isAnswered) this.#lastAnswerAt = this.#clock.now();
  }

  get #sinceAnswerMs(): number {
    return this.#clock.now() - this.#lastAnswerAt;
  }
}
