import { schedulingLimits } from '../schedulingLimits.js';

/**
 * Issues the fencing tokens of a leader's commands. Each one is higher than all before it, those of earlier terms
 * included, so that a worker which has seen it refuses every command that was sent with an earlier one.
 */
export class FencingTokens {
  #latest: number;

  /** @param term - term of the leader */
  public constructor(term: number) {
    this.#latest = term * schedulingLimits.tokensPerTerm;
  }

  /**
   * Issues a token.
   *
   * @returns the token, higher than all before it
   */
  public issue(): number {
    this.#latest += 1;
    return this.#latest;
  }
}
