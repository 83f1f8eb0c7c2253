import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import type { Fleet } from './Fleet.js';
import type { LoweredLimit } from './LoweredLimit.js';
import type { Policy } from './Policy.js';
import type { ShardContext } from './ShardContext.js';
import { subtractResources } from './subtractResources.js';
import type { TaskRecord } from './TaskRecord.js';
import type { TaskStopper } from './TaskStopper.js';
import type { TeamLedger } from './TeamLedger.js';
import { zeroResources } from './zeroResources.js';

/** Fraction of the time set by the document during which running work may still end by itself. */
const graceFraction = 0.25;

/** Components of the shard that the enforcer reads and changes. */
interface EnforcerDependencies {
  readonly fleet: Fleet;
  readonly ledger: TeamLedger;
  readonly stopper: TaskStopper;
  readonly readPolicy: () => Policy;
}

/** Stops running work above a lowered limit. Only idempotent tasks are stopped, the newest first. */
export class LimitEnforcer {
  readonly #context: ShardContext;
  readonly #dependencies: EnforcerDependencies;
  #loweredLimits: ReadonlyMap<string, LoweredLimit> = new Map();

  /**
   * @param context - context shared by the components of the shard
   * @param dependencies - components to read and change
   */
  public constructor(context: ShardContext, dependencies: EnforcerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Sets the teams that must reduce their use.
   *
   * @param loweredLimits - reduction target per team
   */
  public setLoweredLimits(loweredLimits: ReadonlyMap<string, LoweredLimit>): void {
    this.#loweredLimits = loweredLimits;
  }

  /** Stops work above a target once its grace period is over. */
  public tick(): void {
    const now = this.#context.clock.now();
    const graceMs = this.#dependencies.readPolicy().lowerLimitMs * graceFraction;
    for (const [team, { target, exceededSince }] of this.#loweredLimits) {
      if (now - exceededSince >= graceMs) this.#reduceUse(team, target);
    }
  }

  #reduceUse(team: string, target: Resources): void {
    const tasks = this.#dependencies.fleet.workers
      .flatMap((worker) => worker.tasks)
      .filter(({ assignment }) => assignment.request.team === team);
    let use = this.#dependencies.ledger.readUse(team);
    for (const task of tasks) {
      if (task.state === 'stopping') use = subtractResources(use, task.assignment.request.size);
    }
    const newestFirst = [...tasks].sort((left, right) => right.placedAt - left.placedAt);
    for (const task of newestFirst) {
      if (coversResources(target, use)) return;
      if (!task.assignment.request.idempotent || !this.#dependencies.stopper.canStop(task))
        continue;
      if (!this.#canReduceExcess(task, use, target)) continue;
      use = subtractResources(use, this.#stop(task, team));
    }
  }

  /** Whether stopping the task frees a resource that exceeds the target. */
  #canReduceExcess({ assignment }: TaskRecord, use: Resources, target: Resources): boolean {
    const { size } = assignment.request;
    const excess = subtractResources(use, target);
    return (['processors', 'memoryMb', 'accelerators'] as const).some(
      (name) => excess[name] > 0 && size[name] > 0,
    );
  }

  #stop(task: TaskRecord, team: string): Resources {
    const { size, kind, id } = task.assignment.request;
    this.#dependencies.stopper.stop(task, `the limit of team ${team} was lowered`);
    if (kind !== 'gang') return size;
    const members = this.#dependencies.fleet.workers
      .flatMap((worker) => worker.tasks)
      .filter(({ assignment }) => assignment.request.id === id);
    return members.reduce((sum) => addResources(sum, size), zeroResources);
  }
}
