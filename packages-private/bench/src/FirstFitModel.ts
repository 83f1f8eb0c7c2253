import type { Report } from '@toucanline/schema';
import type { TaskObserver } from './TaskObserver.js';
import { UnlimitedModel } from './UnlimitedModel.js';

/** Baseline: each task on the first worker with room. */
export class FirstFitModel extends UnlimitedModel {
  readonly #passesBlocked: boolean;

  /**
   * @param shards - first report of the workers of each shard
   * @param observer - follows the tasks
   * @param passesBlocked - whether requests behind a blocked one may start
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    observer: TaskObserver,
    passesBlocked: boolean,
  ) {
    super(shards, observer);
    this.#passesBlocked = passesBlocked;
  }

  /** {@inheritDoc SchedulerModel.name} */
  public override get name(): string {
    return this.#passesBlocked
      ? 'first fit that passes blocked requests'
      : 'first fit in arrival order';
  }

  /** {@inheritDoc BaselineModel.passesBlocked} */
  protected override get passesBlocked(): boolean {
    return this.#passesBlocked;
  }
}
