import type { TaskCommand } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskRecord } from './TaskRecord.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Sends commands for tasks to their workers, and repeats those that stop a task until it has ended. */
export class TaskCommands {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #table: RequestTable;
  /** Tasks that shall stop, with the local monotonic time of the last command. */
  readonly #stopSentAt = new Map<TaskRecord, number>();

  /**
   * @param context - what the parts of the shard share
   * @param fleet - workers of the shard
   * @param table - requests of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet, table: RequestTable) {
    this.#context = context;
    this.#fleet = fleet;
    this.#table = table;
  }

  /**
   * Stops one task. The command is repeated until the task has ended, because it may be lost.
   *
   * @param worker - worker that runs the task
   * @param task - the task
   */
  public stop(worker: WorkerRecord, task: TaskRecord): void {
    task.setState('stopping');
    this.#sendStop(worker, task, this.#context.clock.now());
  }

  /**
   * Repeats the commands that stop tasks which have not ended.
   *
   * @param now - local monotonic time in milliseconds
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
   * @param action - what the worker shall do
   * @param cancelled - whether the request was cancelled
   */
  public send(
    worker: WorkerRecord,
    taskId: string,
    action: TaskCommand['action'],
    cancelled = false,
  ): void {
    const { shard, epoch, owner, provisional, emit } = this.#context;
    const authority = { shard, epoch, owner, provisional, bootId: worker.bootId };
    emit({
      effect: 'command',
      worker: worker.id,
      address: worker.address,
      command: { authority, taskId, action, ...(cancelled ? { cancelled } : {}) },
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
