import type { Report } from '@toucanline/schema';
import type { BaselineWorker } from './BaselineWorker.js';
import type { TaskObserver } from './TaskObserver.js';
import { UnlimitedModel } from './UnlimitedModel.js';
import type { SeededRandom } from './SeededRandom.js';

/**
 * Baseline: places each task on a random worker with enough free capacity; requests that do not fit are
 * skipped.
 */
export class RandomWorkerModel extends UnlimitedModel {
  readonly #random: SeededRandom;

  /**
   * @param shards - initial reports of the workers of each shard
   * @param observer - notified when tasks start and end
   * @param random - source of the random choices of workers
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

  /** {@inheritDoc BaselineModel.allowsBackfilling} */
  protected override get allowsBackfilling(): boolean {
    return true;
  }

  /** {@inheritDoc BaselineModel.chooseWorker} */
  protected override chooseWorker(workers: readonly BaselineWorker[]): BaselineWorker | undefined {
    return workers[Math.floor(this.#random.next() * workers.length)];
  }
}
