/** Source of random values. Implementations belong to the host environment or to a seeded test. */
export abstract class RandomSource {
  /**
   * Draws a number.
   *
   * @returns a number in the range [0, 1)
   */
  public abstract next(): number;

  /**
   * Draws an identifier that no other call returns.
   *
   * @returns a string of lower-case letters and digits
   */
  public abstract token(): string;
}
