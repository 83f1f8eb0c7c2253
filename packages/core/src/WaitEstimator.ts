/** Time constant of the start rate, in milliseconds. */
const rateWindowMs = 5000;
/** Starts in the window below which the rate is too uncertain to refuse anything. */
const minStarts = 10;

/** Decayed number of starts at a time. */
interface StartCount {
  readonly starts: number;
  readonly countedAt: number;
}

/** Estimates how long a request of a team will wait, from how fast the team's requests start. */
export class WaitEstimator {
  readonly #counts = new Map<string, StartCount>();

  /**
   * Notes that a request started.
   *
   * @param team - name of the team
   * @param now - local monotonic time in milliseconds
   */
  public recordStart(team: string, now: number): void {
    this.#counts.set(team, { starts: this.#readStarts(team, now) + 1, countedAt: now });
  }

  /**
   * Estimates the wait behind the requests that wait already.
   *
   * @param team - name of the team
   * @param waiting - number of waiting requests of the team
   * @param now - local monotonic time in milliseconds
   * @returns milliseconds; 0 if too few requests started lately
   */
  public estimateWaitMs(team: string, waiting: number, now: number): number {
    const starts = this.#readStarts(team, now);
    return starts < minStarts ? 0 : (waiting * rateWindowMs) / starts;
  }

  #readStarts(team: string, now: number): number {
    const count = this.#counts.get(team);
    return count === undefined
      ? 0
      : count.starts * Math.exp((count.countedAt - now) / rateWindowMs);
  }
}
