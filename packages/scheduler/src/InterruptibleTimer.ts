import type { Clock } from '@toucanline/core';

/** Sleep that can be ended early. */
export class InterruptibleTimer {
  readonly #clock: Clock;
  #interrupt: (() => void) | undefined;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Sleeps until the time is over or the timer is interrupted.
   *
   * @param durationMs - longest duration in milliseconds
   */
  public async sleep(durationMs: number): Promise<void> {
    const interrupted = new Promise<void>((resolve) => {
      this.#interrupt = resolve;
    });
    await Promise.race([interrupted, this.#clock.sleep(durationMs)]);
  }

  /** Ends the current sleep. */
  public interrupt(): void {
    this.#interrupt?.();
  }
}
