import type { FencingTokens } from './FencingTokens.js';

/**
 * Keeps commands that are executed late from acting on another incarnation of their worker, which they name by its id
 * only. The fencing token makes the worker refuse what was sent for an earlier incarnation, and acknowledgements of run
 * ends are held back while the worker may have started anew unnoticed.
 */
export class CommandFence {
  readonly #tokens: FencingTokens;
  #token: number;
  /** Acknowledgements with the current token that have no response yet. */
  #pendingAcknowledgements = 0;
  #startsInFlight = 0;
  /** Monotonic time in milliseconds at which a response showed the clock of another incarnation. */
  #restartSuspectedAt: number | undefined;

  /** @param tokens - issues the fencing tokens of commands */
  public constructor(tokens: FencingTokens) {
    this.#tokens = tokens;
    this.#token = tokens.issue();
  }

  /** Fencing token of the next command: higher than those of all commands for earlier incarnations. */
  public get token(): number {
    return this.#token;
  }

  /** Whether starts were sent that have no response yet. An incarnation that is not known yet may execute them. */
  public get hasStartsInFlight(): boolean {
    return this.#startsInFlight > 0;
  }

  /** Whether a response showed another clock and no report has named the incarnation since. */
  public get isRestartSuspected(): boolean {
    return this.#restartSuspectedAt !== undefined;
  }

  /**
   * Records that a request for a report acknowledges run ends.
   *
   * @returns fencing token of the request
   */
  public beginAcknowledgement(): number {
    this.#pendingAcknowledgements += 1;
    return this.#token;
  }

  /**
   * Records that such a request was answered, so that it is not executed later.
   *
   * @param token - fencing token of the request
   */
  public endAcknowledgement(token: number): void {
    if (token === this.#token) this.#pendingAcknowledgements -= 1;
  }

  /**
   * Records that a start is being sent. It has a higher token than every acknowledgement that may still be executed: also
   * an incarnation that is not known yet then keeps the end of the run until it is seen.
   *
   * @returns fencing token of the start
   */
  public beginStart(): number {
    if (this.#pendingAcknowledgements > 0) {
      this.#token = this.#tokens.issue();
      this.#pendingAcknowledgements = 0;
    }
    this.#startsInFlight += 1;
    return this.#token;
  }

  /** Records that a start has a response, or that there was none in time. */
  public endStart(): void {
    this.#startsInFlight -= 1;
  }

  /**
   * Records a response with another clock.
   *
   * @param now - monotonic time in milliseconds
   */
  public suspectRestart(now: number): void {
    this.#restartSuspectedAt = now;
  }

  /**
   * Records a report that names the known incarnation.
   *
   * @param sentAt - monotonic time at which it was requested, in milliseconds
   */
  public confirmIncarnation(sentAt: number): void {
    if (sentAt >= (this.#restartSuspectedAt ?? Infinity)) this.#restartSuspectedAt = undefined;
  }
}
