import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import type { Fleet } from './Fleet.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import { scaleResources } from './scaleResources.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskRecord } from './TaskRecord.js';
import type { TaskStopper } from './TaskStopper.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/**
 * Minimum time between two actions on a worker, within which the effect of a command shows in the
 * reported use.
 */
const actionIntervalMs = 1000;
/**
 * Fraction of the total capacity above which a worker counts as full; the rest covers growth until
 * the next report.
 */
const fullUsageFraction = 0.95;

/**
 * Keeps workers within their total capacity when tasks use more than they declared. Each task is
 * charged with the larger of its declared size and its reported use, so this acts before the actual
 * use exceeds the capacity. Tasks above their declared size are throttled, then checkpointed, then
 * the newest idempotent ones are stopped. A non-idempotent task is only ever throttled or
 * checkpointed.
 */
export class OveruseEnforcer {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #lifecycle: RequestLifecycle;
  readonly #stopper: TaskStopper;
  readonly #throttledTasks = new WeakSet<TaskRecord>();
  readonly #lastActionAt = new WeakMap<WorkerRecord, number>();

  /**
   * @param context - state and services that the components of the shard share
   * @param fleet - workers of the shard
   * @param lifecycle - sends commands
   * @param stopper - stops or checkpoints tasks
   */
  public constructor(
    context: ShardContext,
    fleet: Fleet,
    lifecycle: RequestLifecycle,
    stopper: TaskStopper,
  ) {
    this.#context = context;
    this.#fleet = fleet;
    this.#lifecycle = lifecycle;
    this.#stopper = stopper;
  }

  /** Acts on every worker whose charges exceed its total capacity. */
  public tick(): void {
    for (const worker of this.#fleet.workers) this.check(worker);
  }

  /**
   * Acts on one worker if its charges exceed its total capacity.
   *
   * @param worker - the worker
   */
  public check(worker: WorkerRecord): void {
    if (worker.isLeaseExpired || coversResources(worker.totalCapacity, worker.allocated)) return;
    const running = worker.tasks.filter(({ state }) => state === 'running');
    const overusing = running.filter((task) => task.hasExceededSize);
    const now = this.#context.clock.now();
    const notThrottled = overusing.filter((task) => !this.#throttledTasks.has(task));
    if (notThrottled.length > 0) {
      this.#lastActionAt.set(worker, now);
      for (const task of notThrottled) {
        this.#throttledTasks.add(task);
        this.#lifecycle.commands.send(worker, task.id, 'throttle');
      }
      return;
    }
    if (now - (this.#lastActionAt.get(worker) ?? -Infinity) < actionIntervalMs) return;
    const taskToStop =
      this.#findNewest(overusing) ?? (this.#isFull(worker) ? this.#findNewest(running) : undefined);
    if (taskToStop === undefined) return;
    this.#lastActionAt.set(worker, now);
    this.#stopper.stop(taskToStop, 'the worker is short of capacity');
  }

  /**
   * Checks whether the reported use fills a worker. Only then tasks within their declared size are
   * stopped.
   */
  #isFull(worker: WorkerRecord): boolean {
    let used = zeroResources;
    for (const task of worker.tasks) used = addResources(used, task.usage);
    return !coversResources(scaleResources(worker.totalCapacity, fullUsageFraction), used);
  }

  /**
   * Finds the newest task that may be stopped. Checkpointable tasks come first, because a
   * checkpoint loses no work.
   */
  #findNewest(tasks: readonly TaskRecord[]): TaskRecord | undefined {
    const newestFirst = tasks
      .filter((task) => this.#stopper.canStop(task))
      .sort((left, right) => right.placedAt - left.placedAt);
    return (
      newestFirst.find(({ assignment }) => assignment.request.checkpointable) ?? newestFirst[0]
    );
  }
}
