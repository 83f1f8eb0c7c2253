import { RandomSource } from '@toucanline/core';
import prand from 'pure-rand';

const range = 2 ** 31;

/** Random source that yields the same sequence for the same seed. */
export class SeededRandom extends RandomSource {
  readonly #generator: ReturnType<typeof prand.xoroshiro128plus>;

  /** @param seed - seed of the sequence */
  public constructor(seed: number) {
    super();
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /** {@inheritDoc RandomSource.next} */
  public override next(): number {
    return prand.unsafeUniformIntDistribution(0, range - 1, this.#generator) / range;
  }

  /** {@inheritDoc RandomSource.token} */
  public override token(): string {
    return Math.floor(this.next() * range).toString(16);
  }

  /**
   * Chooses one of several values.
   *
   * @param values - values to choose from, at least one
   * @returns one of them
   * @throws RangeError if there are no values
   */
  public pick<T>(values: readonly T[]): T {
    const value = values[Math.floor(this.next() * values.length)];
    if (value === undefined) throw new RangeError('cannot pick from an empty list');
    return value;
  }
}
