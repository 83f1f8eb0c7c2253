import { Clock } from '../src/index.js';
import { flushPromises } from './flushPromises.js';

/** Clock that a test advances; its rate models the drift of the clock of a host. */
export class DriftingClock extends Clock {
  readonly #rate: number;
  #now = 1_000_000;

  public constructor(rate = 1) {
    super();
    this.#rate = rate;
  }

  /** Advances the clock by its rate times the real time. */
  public advance(realMs: number): void {
    this.#now += realMs * this.#rate;
  }

  public override now(): number {
    return this.#now;
  }

  public override wallTime(): number {
    return this.#now;
  }

  public override async sleep(ms: number): Promise<void> {
    this.#now += ms;
    await flushPromises();
  }
}
