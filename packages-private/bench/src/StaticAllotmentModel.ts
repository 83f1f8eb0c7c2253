import {
  addResources,
  coversResources,
  scaleResources,
  subtractResources,
  zeroResources,
} from '@toucanline/core';
import type { Report, Request, Resources } from '@toucanline/schema';
import { BaselineModel } from './BaselineModel.js';
import type { TaskObserver } from './TaskObserver.js';

/** Baseline: each team may use an equal part of each shard and no more; first fit within it. */
export class StaticAllotmentModel extends BaselineModel {
  readonly #allotments: readonly Resources[];
  readonly #use = new Map<string, Resources>();

  /**
   * @param shards - first report of the workers of each shard
   * @param observer - follows the tasks
   * @param teams - number of teams
   */
  public constructor(
    shards: readonly (readonly Report[])[],
    observer: TaskObserver,
    teams: number,
  ) {
    super(shards, observer);
    this.#allotments = shards.map((reports) =>
      scaleResources(
        reports.reduce((sum, { room }) => addResources(sum, room), zeroResources),
        1 / teams,
      ),
    );
  }

  /** {@inheritDoc SchedulerModel.name} */
  public override get name(): string {
    return 'static equal allotments';
  }

  /** {@inheritDoc BaselineModel.passesBlocked} */
  protected override get passesBlocked(): boolean {
    return true;
  }

  /** A request that is larger than the allotment starts alone; otherwise it would never start. */
  protected override mayStart({ team, size, tasks }: Request, shard: number): boolean {
    const allotment = this.#allotments[shard] ?? zeroResources;
    const use = this.#use.get(`${shard}|${team}`) ?? zeroResources;
    const isIdle = coversResources(zeroResources, use);
    return isIdle || coversResources(allotment, addResources(use, scaleResources(size, tasks)));
  }

  /** {@inheritDoc BaselineModel.noteUse} */
  protected override noteUse({ team, size }: Request, shard: number, tasks: number): void {
    const name = `${shard}|${team}`;
    const use = this.#use.get(name) ?? zeroResources;
    const amount = scaleResources(size, Math.abs(tasks));
    this.#use.set(name, tasks > 0 ? addResources(use, amount) : subtractResources(use, amount));
  }
}
