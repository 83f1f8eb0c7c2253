/** Work that is done in slices, so that other work gets its turn in between. */
export abstract class TurnTask {
  /**
   * Does one slice of the work.
   *
   * @returns whether the task can do another slice; if not, it is added again later
   */
  public abstract runSlice(): boolean;
}
