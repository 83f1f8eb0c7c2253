/** When a step last had a running task, a start and a turn. All times are monotonic, in milliseconds. */
export class StepTurn {
  #idleSince: number | undefined;
  #passedOverSince = 0;
  #startedAt = -Infinity;
  #isHeld = false;

  /** Time since which the step has waited without a running task; after a failed run, the time of its last start. */
  public get idleSince(): number {
    return this.#idleSince ?? 0;
  }

  /** Time of the last start of a task, or since which the step has waited if there was none. */
  public get passedOverSince(): number {
    return this.#passedOverSince;
  }

  /** Whether the step has a turn. */
  public get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Time of the last turn, or since which the step has waited if there was none after that. */
  public get waitingSince(): number {
    return Math.max(this.#startedAt, this.#passedOverSince);
  }

  /** Time at which the last turn began; negative infinity if there was none. */
  public get startedAt(): number {
    return this.#startedAt;
  }

  /**
   * Updates the waiting time; called for a waiting step in each planning pass.
   *
   * @param isIdle - whether no task of the step is running or being started
   * @param now - time of the pass
   */
  public update(isIdle: boolean, now: number): void {
    if (this.#idleSince === undefined) this.#passedOverSince = now;
    if (!isIdle || this.#idleSince === undefined) this.#idleSince = now;
  }

  /**
   * Records that a turn begins. The waiting time goes on.
   *
   * @param now - time of the pass
   */
  public begin(now: number): void {
    this.#startedAt = now;
    this.#isHeld = true;
  }

  /** Records that the turn is over without a start. The waiting time goes on. */
  public end(): void {
    this.#isHeld = false;
  }

  /**
   * Records that a task was started, which ends the turn.
   *
   * @param now - time of the pass
   */
  public recordStart(now: number): void {
    this.#idleSince = now;
    this.#passedOverSince = now;
    this.#isHeld = false;
  }
}
