import type { Stamp } from '@toucanline/schema';
import type { Clock } from './Clock.js';

/** Hybrid logical clock: orders events of all processes although their wall clocks differ. */
export class HybridClock {
  readonly #clock: Clock;
  #wallMs = 0;
  #counter = 0;

  /** @param clock - source of the wall time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Stamps a local event.
   *
   * @returns a stamp greater than all earlier ones of this process
   */
  public tick(): Stamp {
    const wallMs = this.#clock.wallTime();
    if (wallMs > this.#wallMs) {
      this.#wallMs = wallMs;
      this.#counter = 0;
    } else {
      this.#counter += 1;
    }
    return { wallMs: this.#wallMs, counter: this.#counter };
  }

  /**
   * Takes note of a stamp from another process.
   *
   * @param stamp - the received stamp
   */
  public observe(stamp: Stamp): void {
    if (stamp.wallMs < this.#wallMs) return;
    this.#counter =
      stamp.wallMs === this.#wallMs ? Math.max(this.#counter, stamp.counter) : stamp.counter;
    this.#wallMs = stamp.wallMs;
  }
}
