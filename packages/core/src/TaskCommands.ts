import type { TaskCommand } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskRecord } from './TaskRecord.js';
import type { WorkerRecord } from './WorkerRecord.js';

/**
 * Sends commands for tasks to their workers, and resends stop commands until the task has ended.
 */
export class TaskCommands {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #table: RequestTable;
  /**
   * Tasks that are to be stopped, with the monotonic time of the last stop command in milliseconds.
   */
  readonly #stopSentAt = new Map<TaskRecord, number>();

  /**
   * @param context - state and services that the components of the shard share
   * @param fleet - workers of the shard
   * @param table - requests of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet, table: RequestTable) {
    this.#context = context;
    this.#fleet = fleet;
    this.#table = table;
  }

  /**
   * Stops one task. The command may be lost, so it is resent until the task has ended.
   *
   * @param worker - worker that runs the task
   * @param task - the task
   */
  public stop(worker: WorkerRecord, task: TaskRecord): void {
    task.setState('stopping');
    this.#sendStop(worker, task, this.#context.clock.now());
  }

  /**
   * Resends the stop commands of tasks that have not ended.
   *
   * @param now - monotonic time in milliseconds
   */
  public resendStops(now: number): void {
    for (const [task, sentAt] of this.#stopSentAt) {
      const worker = this.#fleet.find(task.worker);
      if (!task.isActive || worker === undefined) this.#stopSentAt.delete(task);
      else if (now - sentAt > periods.startWindowMs) this.#sendStop(worker, task, now);
    }
  }

  /**
   * Sends a command for a task to its worker.
   *
   * @param worker - the worker
   * @param taskId - identifier of the task
   * @param action - action that the worker has to take
   * @param isCancelled - whether the request was cancelled
   */
  public send(
    worker: WorkerRecord,
    taskId: string,
    action: TaskCommand['action'],
    isCancelled = false,
  ): void {
    const { shard, epoch, owner, provisional, emit } = this.#context;
    const authority = { shard, epoch, owner, provisional, bootId: worker.bootId };
    emit({
      effect: 'command',
      worker: worker.id,
      address: worker.address,
      command: { authority, taskId, action, ...(isCancelled ? { cancelled: isCancelled } : {}) },
    });
  }

  #sendStop(worker: WorkerRecord, task: TaskRecord, now: number): void {
    this.#stopSentAt.set(task, now);
    this.send(worker, task.id, 'stop', this.#isCancelled(task));
  }

  #isCancelled(task: TaskRecord): boolean {
    const record = this.#table.find(task.assignment.request.id);
    return record?.stopPlan?.next === 'cancelled' || record?.state === 'cancelled';
  }
}
