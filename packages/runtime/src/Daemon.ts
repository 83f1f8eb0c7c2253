/** A long-running process. */
export abstract class Daemon {
  /**
   * Starts to serve.
   *
   * @returns once the process listens
   */
  public abstract start(): Promise<void>;

  /**
   * Stops gracefully: finishes what it holds.
   *
   * @returns once nothing is left to do
   */
  public abstract drain(): Promise<void>;
}
