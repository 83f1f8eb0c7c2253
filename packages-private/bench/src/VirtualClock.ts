import { Clock } from '@toucanline/core';

/** Clock of a simulation. */
export class VirtualClock extends Clock {
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
    return Promise.resolve();
  }

  /**
   * Moves the clock on.
   *
   * @param ms - duration in milliseconds
   */
  public advance(ms: number): void {
    this.#now += ms;
  }
}
