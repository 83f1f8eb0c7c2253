import type { Clock } from '@toucanline/core';

/** Silence of the store after which a candidate may act without it. */
const storeSilenceMs = 4000;
/**
 * Minimum of consecutive unanswered attempts for an outage, so that a pause of this process does not count as one.
 */
const minUnansweredAttempts = 3;

/**
 * Tracks whether the store is available and the claim of a shard is held, from the attempts of this process to claim
 * it.
 */
export class StoreAvailability {
  readonly #clock: Clock;
  #unansweredAttempts = 0;
  #lastAnswerAt: number;
  /** Local monotonic time since which the claim has had no holder, in milliseconds; undefined if it has one. */
  #unclaimedSince: number | undefined;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAnswerAt = clock.now();
  }

  /** Whether the store answered the last attempt. */
  public get isReachable(): boolean {
    return this.#unansweredAttempts === 0;
  }

  /** Time for which the claim has had no holder, in milliseconds; undefined if it has one. */
  public get unclaimedMs(): number | undefined {
    return this.#unclaimedSince === undefined
      ? undefined
      : this.#clock.now() - this.#unclaimedSince;
  }

  /**
   * Checks whether the store has been silent for so long that a silent owner may be replaced without it.
   *
   * @param extraMs - silence that is required in addition, in milliseconds
   * @returns true if the silence is long enough and at least three attempts in a row were unanswered
   */
  public isDown(extraMs = 0): boolean {
    return (
      this.#lastAnswerAgeMs > storeSilenceMs + extraMs &&
      this.#unansweredAttempts >= minUnansweredAttempts
    );
  }

  /**
   * Checks whether the store answered the last attempt, and did so recently.
   *
   * @param maxAgeMs - maximum age of the answer in milliseconds
   * @returns true if the last attempt was answered and the answer is younger than that
   */
  public hasRecentAnswer(maxAgeMs: number): boolean {
    return this.isReachable && this.#lastAnswerAgeMs < maxAgeMs;
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param isAnswered - whether the store answered
   * @param isUnclaimed - whether the answer was that the claim has no holder
   */
  public recordAttempt(isAnswered: boolean, isUnclaimed: boolean): void {
    this.#unansweredAttempts = isAnswered ? 0 : this.#unansweredAttempts + 1;
    if (!isAnswered) return;
    this.#lastAnswerAt = this.#clock.now();
    this.#unclaimedSince = isUnclaimed ? (this.#unclaimedSince ?? this.#lastAnswerAt) : undefined;
  }

  get #lastAnswerAgeMs(): number {
    return this.#clock.now() - this.#lastAnswerAt;
  }
}
