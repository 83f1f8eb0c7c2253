import type { Report } from '@toucanline/schema';
import type { Slot } from './Slot.js';
import type { TaskObserver } from './TaskObserver.js';
import { UnlimitedModel } from './UnlimitedModel.js';
import type { SeededRandom } from './SeededRandom.js';

/** Baseline: each task on a random worker with room; blocked requests are passed. */
export class RandomWorkerModel extends UnlimitedModel {
  readonly #random: SeededRandom;

  /**
   * @param shards - first report of the workers of each shard
   * @param observer - follows the tasks
   * @param random - source of the choices
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    observer: TaskObserver,
    random: SeededRandom,
  ) {
    super(shards, observer);
    this.#random = random;
  }

  /** {@inheritDoc SchedulerModel.name} */
  public override get name(): string {
    return 'random worker';
  }

  /** {@inheritDoc BaselineModel.passesBlocked} */
  protected override get passesBlocked(): boolean {
    return true;
  }

  /** {@inheritDoc BaselineModel.choose} */
  protected override choose(slots: readonly Slot[]): Slot | undefined {
    return slots[Math.floor(this.#random.next() * slots.length)];
  }
}
