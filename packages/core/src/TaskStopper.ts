import type { TaskCommand } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskRecord } from './TaskRecord.js';

/**
 * Delay before a stop command is sent again if the task has not ended, because the command or its
 * response may be lost.
 */
const resendIntervalMs = 1000;

/** Components of the shard that the task stopper reads and changes. */
interface StopperDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly lifecycle: RequestLifecycle;
}

/** Stops or checkpoints running tasks, so that their requests wait again. */
export class TaskStopper {
  readonly #context: ShardContext;
  readonly #dependencies: StopperDependencies;
  readonly #stopSentAt = new Map<TaskRecord, number>();

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that this class reads and changes
   */
  public constructor(context: ShardContext, dependencies: StopperDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /** Number of tasks that were sent a stop command and may still use capacity. */
  public get stoppingCount(): number {
    return this.#stopSentAt.size;
  }

  /**
   * Checks whether a task may be stopped without breaking a guarantee to its caller.
   *
   * @param task - the task
   * @returns false for a non-idempotent task that cannot checkpoint, and for one that is not
   * running
   */
  public canStop(task: TaskRecord): boolean {
    const { idempotent, checkpointable, kind, id } = task.assignment.request;
    if (task.state !== 'running' || !task.isConfirmed) return false;
    if (this.#dependencies.table.find(id)?.stopPlan !== undefined) return false;
    return idempotent || (checkpointable && kind !== 'gang');
  }

  /**
   * Stops a task. A gang is stopped as a whole, because it can only run as a whole.
   *
   * @param task - a task that may be stopped
   * @param detail - why it is stopped
   */
  public stop(task: TaskRecord, detail: string): void {
    const { request } = task.assignment;
    const record = this.#dependencies.table.find(request.id);
    if (record === undefined) return;
    const { clock, invariant, recorder } = this.#context;
    invariant.check(
      request.idempotent || request.checkpointable,
      () => `task ${task.id} is neither idempotent nor checkpointable and was to be stopped`,
    );
    recorder.record('taskStopped', {
      requestId: request.id,
      taskId: task.id,
      worker: task.worker,
      team: request.team,
      detail,
    });
    if (request.kind === 'gang') {
      for (const gangTask of record.activeTasks) this.#stopSentAt.set(gangTask, clock.now());
      this.#dependencies.lifecycle.stopRequest(record, { next: 'requeue', isCharged: false });
      return;
    }
    task.setState('stopping');
    this.#stopSentAt.set(task, clock.now());
    this.#send(task);
  }

  /** Resends the commands of tasks that have not ended, and stops tracking tasks that have. */
  public tick(): void {
    const now = this.#context.clock.now();
    for (const [task, sentAt] of this.#stopSentAt) {
      if (!task.isActive) this.#stopSentAt.delete(task);
      else if (now - sentAt >= resendIntervalMs) {
        this.#stopSentAt.set(task, now);
        this.#send(task);
      }
    }
  }

  #send(task: TaskRecord): void {
    const worker = this.#dependencies.fleet.find(task.worker);
    const { checkpointable, kind } = task.assignment.request;
    const action: TaskCommand['action'] = checkpointable && kind !== 'gang' ? 'checkpoint' : 'stop';
    if (worker !== undefined) this.#dependencies.lifecycle.commands.send(worker, task.id, action);
  }
}
