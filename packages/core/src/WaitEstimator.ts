/** Time constant of the exponentially decayed start rate, in milliseconds. */
const rateWindowMs = 5000;
/** Number of recent starts below which the rate is too uncertain to refuse a request. */
const minStarts = 10;

/** Decayed number of starts, as of a point in time. */
interface StartCount {
  readonly starts: number;
  readonly countedAt: number;
}

/** Estimates how long a request of a team will wait, from the rate at which the team's requests start. */
export class WaitEstimator {
  readonly #counts = new Map<string, StartCount>();

  /**
   * Records the start of a request.
   *
   * @param team - name of the team
   * @param now - monotonic time in milliseconds
   */
  public recordStart(team: string, now: number): void {
    this.#counts.set(team, { starts: this.#readStarts(team, now) + 1, countedAt: now });
  }

  /**
   * Estimates the wait of a new request behind those that are already waiting.
   *
   * @param team - name of the team
   * @param waiting - number of waiting requests of the team
   * @param now - monotonic time in milliseconds
   * @returns estimated wait in milliseconds; 0 if too few requests have started recently
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
