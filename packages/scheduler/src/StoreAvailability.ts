import type { Clock } from '@toucanline/core';

/** Silence of the store before a candidate acts without it. */
const storeSilenceMs = 4000;
/** Attempts in a row that the store left unanswered, so that a pause alone does not look like an outage. */
const minUnansweredAttempts = 3;

/** Tells what the store answers this process, from the outcome of its attempts to claim a shard. */
export class StoreAvailability {
  readonly #clock: Clock;
  #unansweredAttempts = 0;
  #lastAnswerAt: number;
  /** Local monotonic time since which the claim was seen without a holder, in milliseconds. */
  #unclaimedSince: number | undefined;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAnswerAt = clock.now();
  }

  /** Whether the last attempt was answered. */
  public get isReachable(): boolean {
    return this.#unansweredAttempts === 0;
  }

  /** Time since which the claim was seen without a holder, in milliseconds; undefined if it has one. */
  public get unclaimedMs(): number | undefined {
    return this.#unclaimedSince === undefined
      ? undefined
      : this.#clock.now() - this.#unclaimedSince;
  }

  /**
   * Checks whether the store was silent for so long that owners may be replaced without it.
   *
   * @param extraMs - time that has to pass beyond that, in milliseconds
   * @returns true if it was
   */
  public isDown(extraMs = 0): boolean {
    return (
      this.#lastAnswerAgeMs > storeSilenceMs + extraMs &&
      this.#unansweredAttempts >= minUnansweredAttempts
    );
  }

  /**
   * Checks whether the last answer is recent.
   *
   * @param maxAgeMs - oldest answer that counts, in milliseconds
   * @returns true if the last attempt was answered within that time
   */
  public hasRecentAnswer(maxAgeMs: number): boolean {
    return this.isReachable && this.#lastAnswerAgeMs < maxAgeMs;
  }

  /**
   * Notes the outcome of an attempt.
   *
   * @param isAnswered - whether the store answered
   * @param isVacant - whether it said that nobody holds the claim
   */
  public recordAttempt(isAnswered: boolean, isVacant: boolean): void {
    this.#unansweredAttempts = isAnswered ? 0 : this.#unansweredAttempts + 1;
    if (!isAnswered) return;
    this.#lastAnswerAt = this.#clock.now();
    this.#unclaimedSince = isVacant ? (this.#unclaimedSince ?? this.#lastAnswerAt) : undefined;
  }

  get #lastAnswerAgeMs(): number {
    return this.#clock.now() - this.#lastAnswerAt;
  }
}
