import { Clock } from '@toucanline/core';

/** Clock of a simulation: its time changes only when the simulation advances it. */
export class VirtualClock extends Clock {
  #nowMs = 0;

  /** {@inheritDoc Clock.now} */
  public override now(): number {
    return this.#nowMs;
  }

  /** {@inheritDoc Clock.wallTime} */
  public override wallTime(): number {
    return this.#nowMs;
  }

  /** {@inheritDoc Clock.sleep} */
  public override sleep(): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Moves the time forward.
   *
   * @param nowMs - new time in milliseconds; an earlier one has no effect
   */
  public advanceTo(nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  /**
   * Moves the time forward by a duration.
   *
   * @param ms - duration in milliseconds
   */
  public advance(ms: number): void {
    this.#nowMs += ms;
  }
}
