import { Clock } from '../src/index.js';

/** Clock that each sleep advances by its duration without waiting. */
export class AutoAdvanceClock extends Clock {
  #nowMs = 1000;

  /** {@inheritDoc Clock.now} */
  public override now(): number {
    return this.#nowMs;
  }

  /** {@inheritDoc Clock.wallTime} */
  public override wallTime(): number {
    return this.#nowMs;
  }

  /** {@inheritDoc Clock.sleep} */
  public override sleep(ms: number): Promise<void> {
    this.#nowMs += ms;
    return Promise.resolve();
  }
}
