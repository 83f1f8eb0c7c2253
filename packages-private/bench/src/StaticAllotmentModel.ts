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

/** Baseline: limits each team to an equal fraction of each shard; first fit within this allotment. */
export class StaticAllotmentModel extends BaselineModel {
  readonly #allotments: readonly Resources[];
  readonly #use = new Map<string, Resources>();

  /**
   * @param shards - initial reports of the workers of each shard
   * @param observer - notified when tasks start and end
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

  /** {@inheritDoc BaselineModel.allowsBackfilling} */
  protected override get allowsBackfilling(): boolean {
    return true;
  }

  /**
   * Checks whether the request fits the allotment of its team. A team that uses nothing may start any
   * request; one larger than the allotment would never start otherwise.
   */
  protected override mayStart({ team, size, tasks }: Request, shard: number): boolean {
    const allotment = this.#allotments[shard] ?? zeroResources;
    const use = this.#use.get(`${shard}|${team}`) ?? zeroResources;
    const isIdle = coversResources(zeroResources, use);
    return isIdle || coversResources(allotment, addResources(use, scaleResources(size, tasks)));
  }

  /** {@inheritDoc BaselineModel.recordUse} */
  protected override recordUse({ team, size }: Request, shard: number, tasks: number): void {
    const key = `${shard}|${team}`;
    const use = this.#use.get(key) ?? zeroResources;
    const amount = scaleResources(size, Math.abs(tasks));
    this.#use.set(key, tasks > 0 ? addResources(use, amount) : subtractResources(use, amount));
  }
}
