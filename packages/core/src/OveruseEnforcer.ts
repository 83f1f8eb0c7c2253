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

/** Time within which a command has to show in the reported use before the next one follows. */
const actionIntervalMs = 1000;
/** Part of the room that counts as full; the rest covers growth until the next report. */
const fullUsageFraction = 0.95;

/**
 * Keeps workers within their room when tasks use more than they declared. Each task counts with the
 * larger of declared and reported use, so this acts before what is really used exceeds the room. Tasks
 * above their declaration are throttled, then checkpointed, then the newest idempotent ones are
 * stopped. A non-idempotent task is only ever throttled or checkpointed.
 */
export class OveruseEnforcer {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #lifecycle: RequestLifecycle;
  readonly #stopper: TaskStopper;
  readonly #throttledTasks = new WeakSet<TaskRecord>();
  readonly #lastActionAt = new WeakMap<WorkerRecord, number>();

  /**
   * @param context - what the parts of the shard share
   * @param fleet - workers of the shard
   * @param lifecycle - sends commands
   * @param stopper - takes tasks off their workers
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

  /** Acts on every worker whose charges exceed its room. */
  public tick(): void {
    for (const worker of this.#fleet.workers) this.check(worker);
  }

  /**
   * Acts on one worker if its charges exceed its room.
   *
   * @param worker - the worker
   */
  public check(worker: WorkerRecord): void {
    if (worker.isLapsed || coversResources(worker.totalCapacity, worker.allocated)) return;
    const running = worker.tasks.filter(({ state }) => state === 'running');
    const outgrown = running.filter((task) => task.hasExceededSize);
    const now = this.#context.clock.now();
    const fresh = outgrown.filter((task) => !this.#throttledTasks.has(task));
    if (fresh.length > 0) {
      this.#lastActionAt.set(worker, now);
      for (const task of fresh) {
        this.#throttledTasks.add(task);
        this.#lifecycle.commands.send(worker, task.id, 'throttle');
      }
      return;
    }
    if (now - (this.#lastActionAt.get(worker) ?? -Infinity) < actionIntervalMs) return;
    const victim =
      this.#findNewest(outgrown) ?? (this.#isFull(worker) ? this.#findNewest(running) : undefined);
    if (victim === undefined) return;
    this.#lastActionAt.set(worker, now);
    this.#stopper.stop(victim, 'the worker is short of capacity');
  }

  /** Tasks within their declaration are stopped only when what is really used fills the worker. */
  #isFull(worker: WorkerRecord): boolean {
    let used = zeroResources;
    for (const task of worker.tasks) used = addResources(used, task.usage);
    return !coversResources(scaleResources(worker.totalCapacity, fullUsageFraction), used);
  }

  /** A checkpoint loses no work, so it comes before a stop. */
  #findNewest(tasks: readonly TaskRecord[]): TaskRecord | undefined {
    const newestFirst = tasks
      .filter((task) => this.#stopper.canStop(task))
      .sort((left, right) => right.placedAt - left.placedAt);
    return (
      newestFirst.find(({ assignment }) => assignment.request.checkpointable) ?? newestFirst[0]
    );
  }
}
