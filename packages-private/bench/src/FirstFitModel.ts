import type { Report } from '@toucanline/schema';
import type { TaskObserver } from './TaskObserver.js';
import { UnlimitedModel } from './UnlimitedModel.js';

/** Baseline: places each task on the first worker with enough free capacity. */
export class FirstFitModel extends UnlimitedModel {
  readonly #allowsBackfilling: boolean;

  /**
   * @param shards - initial reports of the workers of each shard
   * @param observer - notified when tasks start and end
   * @param allowsBackfilling - whether requests may start before an earlier one that does not fit
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    observer: TaskObserver,
    allowsBackfilling: boolean,
  ) {
    super(shards, observer);
    this.#allowsBackfilling = allowsBackfilling;
  }

  /** {@inheritDoc SchedulerModel.name} */
  public override get name(): string {
    return this.#allowsBackfilling
      ? 'first fit that passes blocked requests'
      : 'first fit in arrival order';
  }

  /** {@inheritDoc BaselineModel.allowsBackfilling} */
  protected override get allowsBackfilling(): boolean {
    return this.#allowsBackfilling;
  }
}
