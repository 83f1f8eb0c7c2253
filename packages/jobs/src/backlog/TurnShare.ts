import { schedulingLimits } from '../schedulingLimits.js';

/**
 * Limits the requests for permits that are sent because their step has a turn, before others of higher priority: they
 * alternate with the others, and use only a share of the channels at the same time.
 */
export class TurnShare {
  #openCount = 0;
  /** Whether a request without a turn was sent since the last one with a turn. */
  #hasAlternated = true;

  /**
   * Checks whether a request with a turn may be sent now.
   *
   * @param channelCount - number of channels to the advice service
   * @returns false while requests with a turn use their share
   */
  public canTake(channelCount: number): boolean {
    const maxOpen = Math.max(1, Math.round(channelCount * schedulingLimits.turnChannelShare));
    return this.#hasAlternated && this.#openCount < maxOpen;
  }

  /**
   * Records that a request is sent.
   *
   * @param hasTurn - whether it is sent because of the turn of its step
   */
  public recordSent(hasTurn: boolean): void {
    this.#hasAlternated = !hasTurn;
    if (hasTurn) this.#openCount += 1;
  }

  /**
   * Records that a request was answered or has failed.
   *
   * @param hasTurn - whether it was sent because of the turn of its step
   */
  public recordEnd(hasTurn: boolean): void {
    if (hasTurn) this.#openCount -= 1;
  }
}
