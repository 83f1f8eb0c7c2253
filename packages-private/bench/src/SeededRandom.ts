import { RandomSource } from '@toucanline/core';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const maxInteger = 2 ** 31 - 1;

/** Source of random values that a seed determines. */
export class SeededRandom extends RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed - the seed */
  public constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  /** {@inheritDoc RandomSource.next} */
  public override next(): number {
    return unsafeUniformIntDistribution(0, maxInteger, this.#generator) / (maxInteger + 1);
  }

  /** {@inheritDoc RandomSource.token} */
  public override token(): string {
    return Math.floor(this.next() * 2 ** 52).toString(36);
  }
}
