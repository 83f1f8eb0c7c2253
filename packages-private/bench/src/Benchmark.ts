/** Measurement that is available as a sub-command of the command line. */
export abstract class Benchmark {
  /** Name of the sub-command. */
  public abstract get name(): string;

  /**
   * Runs the measurement and prints the results.
   *
   * @param seed - seed of all random choices
   * @param print - writes one line of output
   * @returns true if every target is met
   */
  public abstract run(seed: number, print: (line: string) => void): Promise<boolean>;
}
