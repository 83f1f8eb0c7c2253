import type { Stamp } from '@toucanline/schema';
import type { Clock } from './Clock.js';

/**
 * Maximum offset of an observed stamp ahead of the local wall clock, in milliseconds. Without a bound, one
 * host with a wrong clock would move the stamps of all processes into the future permanently.
 */
const maxOffsetMs = 60_000;

/** Hybrid logical clock: orders the events of all processes although their wall clocks differ. */
export class HybridLogicalClock {
  readonly #clock: Clock;
  #wallMs = 0;
  #counter = 0;

  /** @param clock - source of the wall time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Creates the stamp of a local event.
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
   * Advances the clock past a stamp from another process. A stamp that is too far ahead is ignored.
   *
   * @param stamp - the received stamp
   */
  public observe(stamp: Stamp): void {
    if (stamp.wallMs < this.#wallMs) return;
    if (stamp.wallMs > this.#clock.wallTime() + maxOffsetMs) return;
    this.#counter =
      stamp.wallMs === this.#wallMs ? Math.max(this.#counter, stamp.counter) : stamp.counter;
    this.#wallMs = stamp.wallMs;
  }
}
