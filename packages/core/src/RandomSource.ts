/** Source of random values. The host environment or a seeded test implements it. */
export abstract class RandomSource {
  /**
   * Generates a uniformly distributed number.
   *
   * @returns a number in the range [0, 1)
   */
  public abstract next(): number;

  /**
   * Generates a unique identifier.
   *
   * @returns a string of lower-case letters and digits that no other call returns
   */
  public abstract token(): string;
}
