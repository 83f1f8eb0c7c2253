import { Clock } from '../src/index.js';

/** Clock that a test advances. */
export class ManualClock extends Clock {
  #now = 0;

  /** {@inheritDoc Clock.now} */
  public override now(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.wallTime} */
  public override wallTime(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.sleep} */
  public override sleep(): Promise<void> {
    return new Promise(() => undefined);
  }

  /**
   * Advances the clock.
   *
   * @param ms - duration in milliseconds
   */
  public advance(ms: number): void {
    this.#now += ms;
  }
}
