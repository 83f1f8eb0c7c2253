import { Clock } from '../src/index.js';
import { flushPromises } from './flushPromises.js';

/** Clock that a test advances; sleeps that are due resolve. */
export class TimerClock extends Clock {
  #now = 1_000_000;
  #sleepers: { readonly at: number; readonly wake: () => void }[] = [];

  /** {@inheritDoc Clock.now} */
  public override now(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.wallTime} */
  public override wallTime(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.sleep} */
  public override sleep(ms: number): Promise<void> {
    return new Promise((wake) => {
      this.#sleepers.push({ at: this.#now + ms, wake });
    });
  }

  /**
   * Advances the clock and lets the pending promises run.
   *
   * @param ms - duration in milliseconds
   */
  public async advance(ms: number): Promise<void> {
    this.#now += ms;
    const due = this.#sleepers.filter(({ at }) => at <= this.#now);
    this.#sleepers = this.#sleepers.filter(({ at }) => at > this.#now);
    for (const { wake } of due) wake();
    await flushPromises();
  }
}
