/** Long-running service of a process. */
export abstract class Daemon {
  /**
   * Starts to serve.
   *
   * @returns a promise that resolves once the process listens
   */
  public abstract start(): Promise<void>;

  /**
   * Stops gracefully: completes or hands over the work in progress.
   *
   * @returns a promise that resolves once the process may exit
   */
  public abstract drain(): Promise<void>;
}
