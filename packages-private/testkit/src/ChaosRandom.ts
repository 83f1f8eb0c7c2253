import prand, { type RandomGenerator } from 'pure-rand';

/** Random choices from a seeded generator. */
export class ChaosRandom {
  readonly #generator: RandomGenerator;

  /** @param seed - seed that determines all choices */
  public constructor(seed: number) {
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /**
   * Draws an integer.
   *
   * @param below - exclusive upper bound
   * @returns an integer of at least 0
   */
  public drawInteger(below: number): number {
    return prand.unsafeUniformIntDistribution(0, below - 1, this.#generator);
  }

  /**
   * Draws whether something happens.
   *
   * @param percent - its probability in percent
   * @returns whether it happens
   */
  public drawChance(percent: number): boolean {
    return this.drawInteger(100) < percent;
  }

  /**
   * Picks a random item.
   *
   * @param items - the items, at least one
   * @returns one of them
   * @throws Error if there are no items
   */
  public pick<Item>(items: readonly Item[]): Item {
    const item = items[this.drawInteger(items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }
}
