import prand, { type RandomGenerator } from 'pure-rand';

/** Random choices that a seed determines. */
export class ChaosRandom {
  readonly #generator: RandomGenerator;

  /** @param seed - determines all choices */
  public constructor(seed: number) {
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /**
   * Draws an integer.
   *
   * @param below - exclusive upper bound
   * @returns an integer from 0
   */
  public drawInteger(below: number): number {
    return prand.unsafeUniformIntDistribution(0, below - 1, this.#generator);
  }

  /**
   * Draws whether something happens.
   *
   * @param percent - its probability
   * @returns whether it happens
   */
  public drawChance(percent: number): boolean {
    return this.drawInteger(100) < percent;
  }

  /**
   * Picks an item.
   *
   * @param items - the items, at least one
   * @returns one of them
   */
  public pick<Item>(items: readonly Item[]): Item {
    const item = items[this.drawInteger(items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }
}
