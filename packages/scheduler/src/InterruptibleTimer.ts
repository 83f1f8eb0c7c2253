import type { Clock } from '@toucanline/core';

/** A sleep that another part of the process may end early. */
export class InterruptibleTimer {
  readonly #clock: Clock;
  #interrupt: (() => void) | undefined;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Sleeps until the time is over or the waker is woken.
   *
   * @param ms - longest duration in milliseconds
   */
  public async sleep(ms: number): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      this.#interrupt = resolve;
    });
    await Promise.race([woken, this.#clock.sleep(ms)]);
  }

  /** Ends the current sleep. */
  public interrupt(): void {
    this.#interrupt?.();
  }
}
