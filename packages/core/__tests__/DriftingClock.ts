import { Clock } from '../src/index.js';
import { flushPromises } from './flushPromises.js';

/** Clock that a test moves; its rate models the drift of a host. */
export class DriftingClock extends Clock {
  readonly #rate: number;
  #now = 1_000_000;

  public constructor(rate = 1) {
    super();
    this.#rate = rate;
  }

  /** Lets real time pass. */
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
