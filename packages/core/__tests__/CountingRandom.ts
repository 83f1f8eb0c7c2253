import { RandomSource } from '../src/index.js';

/** Random source with a constant number and numbered tokens. */
export class CountingRandom extends RandomSource {
  #count = 0;

  public override next(): number {
    return 0.5;
  }

  public override token(): string {
    this.#count += 1;
    return `t${this.#count}x`;
  }
}
