import { schedulingLimits } from '../schedulingLimits.js';

/** Request for permits that was sent because its step has a turn. */
interface OpenTurn {
  /** Monotonic time in milliseconds at which its answer is expected. */
  readonly expectedAt: number;
}

/**
 * Limits the requests for permits that are sent because their step has a turn, before others of higher priority: they
 * alternate with the others, and use only a share of the channels at the same time. Calls whose answers are overdue do
 * not count, since their hosts may be partitioned and would block the turns until the timeout.
 */
export class TurnShare {
  readonly #open = new Set<OpenTurn>();
  /** Whether a request without a turn was sent since the last one with a turn. */
  #hasAlternated = true;

  /**
   * Checks whether a request with a turn may be sent now.
   *
   * @param channelCount - number of channels to the advice service
   * @param now - monotonic time in milliseconds
   * @returns false while requests with a turn use their share
   */
  public canTake(channelCount: number, now: number): boolean {
    if (!this.#hasAlternated) return false;
    const { turnChannelShare, turnAnswerMarginMs } = schedulingLimits;
    let openCount = 0;
    for (const { expectedAt } of this.#open)
      if (expectedAt + turnAnswerMarginMs > now) openCount += 1;
    return openCount < Math.ceil(channelCount * turnChannelShare);
  }

  /** Records that a request without a turn is sent. */
  public recordOther(): void {
    this.#hasAlternated = true;
  }

  /**
   * Records that a request with a turn is sent.
   *
   * @param expectedAt - monotonic time in milliseconds at which the answer is expected
   * @returns function to call when the request was answered or has failed
   */
  public begin(expectedAt: number): () => void {
    const turn: OpenTurn = { expectedAt };
    this.#open.add(turn);
    this.#hasAlternated = false;
    return () => {
      this.#open.delete(turn);
    };
  }
}
