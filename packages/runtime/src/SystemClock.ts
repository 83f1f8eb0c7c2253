import { Clock } from '@toucanline/core';

/** Clock of the host. */
export class SystemClock extends Clock {
  /** {@inheritDoc Clock.now} */
  public override now(): number {
    return performance.now();
  }

  /** {@inheritDoc Clock.wallTime} */
  public override wallTime(): number {
    return Date.now();
  }

  /** {@inheritDoc Clock.sleep} */
  public override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }
}
