import type { WorkerReport } from '@toucanline/schema';
import type { Command } from '../Command.js';
import { schedulingLimits } from '../schedulingLimits.js';
import type { Task } from '../Task.js';
import type { Worker } from '../Worker.js';
import type { WorkerPool } from '../WorkerPool.js';

type StopCommand = Extract<Command, { kind: 'stop' }>;

/** Starts of one task that a worker may still execute, all under the same worker id. */
interface PendingStarts {
  readonly workerId: string;
  /** Monotonic time in milliseconds until which each run may be started, by run number. */
  readonly executableUntil: Map<number, number>;
  /** Incarnation that has confirmed a stop, and the number of the stopped run: it starts no run up to this number. */
  blocked: { readonly worker: Worker; readonly run: number } | undefined;
  /** Whether so many starts got no response that the task waits until none of them is pending. */
  isExhausted: boolean;
  /** Monotonic time of the last stop for a task that holds no resources, in milliseconds. */
  stopSentAt: number;
}

/** A waiting task that may start again on one worker only. */
interface BoundTask {
  readonly task: Task;
  /** Current incarnation of the worker; undefined if it is unknown. */
  readonly worker: Worker | undefined;
}

/**
 * Starts that may still be executed although their runs were stopped: a start without a response may be executed
 * seconds later, also by the next incarnation of its worker, which knows of no stop. Meanwhile the task starts again only
 * on the incarnation that has confirmed the stop. The next incarnation must confirm a stop of its own first.
 */
export class LateStarts {
  readonly #pool: WorkerPool;
  /** Time after the end of the window for which a run that started within it may hold its lease, in milliseconds. */
  readonly #longestLeaseMs: number;
  readonly #byTask = new Map<Task, PendingStarts>();
  readonly #tasksByWorker = new Map<string, Set<Task>>();

  /**
   * @param pool - known workers
   * @param maxLeaseMs - longest lease that a worker accepts, in milliseconds
   */
  public constructor(pool: WorkerPool, maxLeaseMs: number) {
    const { longestLeaseMs, minClockRate, leaseExpiryMarginMs } = schedulingLimits;
    this.#pool = pool;
    this.#longestLeaseMs =
      Math.min(maxLeaseMs, longestLeaseMs) / minClockRate + leaseExpiryMarginMs;
  }

  /**
   * Records a start that is being sent.
   *
   * @param task - task that is to start
   * @param workerId - id of the worker
   * @param run - number of the run
   * @param now - monotonic time in milliseconds
   */
  public record(task: Task, workerId: string, run: number, now: number): void {
    let pending = this.#byTask.get(task);
    if (pending === undefined) {
      pending = {
        workerId,
        executableUntil: new Map(),
        blocked: undefined,
        isExhausted: false,
        stopSentAt: -Infinity,
      };
      this.#byTask.set(task, pending);
      const tasks = this.#tasksByWorker.get(workerId) ?? new Set();
      this.#tasksByWorker.set(workerId, tasks.add(task));
    }
    pending.executableUntil.set(run, getLastExecutionTime(now));
  }

  /**
   * Records that a start got no response. The call may have been sent with a delay, so its time counts from here.
   *
   * @param task - task of the start
   * @param run - number of the run
   * @param now - monotonic time in milliseconds
   */
  public recordNoResponse(task: Task, run: number, now: number): void {
    const pending = this.#byTask.get(task);
    // A report may have shown the run already.
    if (pending?.executableUntil.has(run) === true)
      pending.executableUntil.set(run, getLastExecutionTime(now));
  }

  /**
   * Records that a start was executed or refused, so that it cannot be executed later.
   *
   * @param task - task of the start
   * @param run - number of the run
   */
  public resolve(task: Task, run: number): void {
    const pending = this.#byTask.get(task);
    if (pending === undefined) return;
    pending.executableUntil.delete(run);
    if (pending.executableUntil.size === 0) this.#remove(task, pending);
  }

  /**
   * Records that a worker has confirmed a stop.
   *
   * @param command - stop command that was confirmed
   */
  public confirmStop({ task, worker, run }: StopCommand): void {
    const pending = this.#byTask.get(task);
    if (pending?.workerId !== worker.id || this.#pool.find(worker.id) !== worker) return;
    const { blocked } = pending;
    if (blocked?.worker !== worker || blocked.run < run) pending.blocked = { worker, run };
  }

  /**
   * Resolves the starts whose runs a report lists, and those that can no longer be executed: the incarnation that blocks
   * them still ran when the report was requested, after the time for which they could be executed.
   *
   * @param worker - incarnation that sent the report
   * @param report - running tasks and ended runs
   * @param sentAt - monotonic time at which the report was requested, in milliseconds
   */
  public handleReport(worker: Worker, report: WorkerReport, sentAt: number): void {
    const tasks = this.#tasksByWorker.get(worker.id);
    if (tasks === undefined) return;
    const listed = new Set(
      [...report.running, ...report.ended].map(({ task, run }) => `${task}/${run}`),
    );
    for (const task of [...tasks]) {
      const pending = this.#byTask.get(task);
      if (pending === undefined) continue;
      for (const [run, until] of [...pending.executableUntil]) {
        const isOver = sentAt > until && isBlocked(pending, worker);
        if (isOver || listed.has(`${task.name}/${run}`)) this.resolve(task, run);
      }
    }
  }

  /**
   * Checks whether a start of a task may still be executed.
   *
   * @param task - task to check
   * @returns whether there is such a start
   */
  public isPending(task: Task): boolean {
    return this.#byTask.has(task);
  }

  /**
   * Checks whether a worker may still execute a start, so that its restart must be noticed.
   *
   * @param worker - worker to check
   * @returns whether there is such a start
   */
  public hasAny(worker: Worker): boolean {
    return this.#tasksByWorker.has(worker.id);
  }

  /**
   * Finds the only worker on which a task with a pending start may start again.
   *
   * @param task - task with a pending start
   * @returns the incarnation that blocks all pending starts of the task; undefined if there is none, or if too many
   * starts there got no response
   */
  public findWorker(task: Task): Worker | undefined {
    const pending = this.#byTask.get(task);
    if (pending === undefined) return undefined;
    if (pending.executableUntil.size >= schedulingLimits.maxPendingStarts)
      pending.isExhausted = true;
    if (pending.isExhausted) return undefined;
    const worker = this.#pool.find(pending.workerId);
    return worker !== undefined && isBlocked(pending, worker) ? worker : undefined;
  }

  /**
   * Lists the waiting tasks with pending starts. Their resources are kept free on the worker: it may start their runs
   * late, and they can start again only there.
   *
   * @returns tasks and the current incarnations of their workers; undefined if the worker is unknown
   */
  public listWaiting(): readonly BoundTask[] {
    const waiting: BoundTask[] = [];
    for (const [task, { workerId }] of this.#byTask) {
      if (task.phase !== 'waiting' || task.step.job.isFinished) continue;
      waiting.push({ task, worker: this.#pool.find(workerId) });
    }
    return waiting;
  }

  /**
   * Stops the pending runs of waiting tasks on the next incarnation of their worker before anything else happens there.
   *
   * @param next - next incarnation, which knows of no stop
   */
  public moveToIncarnation(next: Worker): void {
    for (const task of this.#tasksByWorker.get(next.id) ?? [])
      if (task.phase === 'waiting') task.holdForStop(next, task.phaseStartedAt);
  }

  /**
   * Removes starts that can no longer have an effect, and stops the others where they are not blocked.
   *
   * @param now - monotonic time in milliseconds
   * @returns stop commands for tasks that are done
   */
  public update(now: number): readonly StopCommand[] {
    const stops: StopCommand[] = [];
    for (const [task, pending] of [...this.#byTask]) {
      for (const [run, until] of [...pending.executableUntil])
        if (now > until + this.#longestLeaseMs) this.resolve(task, run);
      if (task.isPlaced || !this.#byTask.has(task)) continue;
      const worker = this.#pool.find(pending.workerId);
      if (worker === undefined || isBlocked(pending, worker)) continue;
      if (task.phase === 'waiting') {
        // A worker without leases cannot be reached. Its next report extends them.
        if (now <= worker.leasesExpireAt) task.holdForStop(worker, now);
      } else if (now - pending.stopSentAt >= schedulingLimits.stopRetryMs) {
        pending.stopSentAt = now;
        stops.push({ kind: 'stop', task, worker, run: task.run });
      }
    }
    return stops;
  }

  #remove(task: Task, { workerId }: PendingStarts): void {
    this.#byTask.delete(task);
    const tasks = this.#tasksByWorker.get(workerId);
    tasks?.delete(task);
    if (tasks?.size === 0) this.#tasksByWorker.delete(workerId);
  }
}

/** Returns until when a start may be executed, as monotonic time in milliseconds. */
const getLastExecutionTime = (sentAt: number): number =>
  sentAt + schedulingLimits.lateCallMs + schedulingLimits.lateCallMarginMs;

/** Checks whether an incarnation starts none of the runs any more. */
const isBlocked = ({ blocked, executableUntil }: PendingStarts, worker: Worker): boolean =>
  blocked?.worker === worker && blocked.run >= Math.max(...executableUntil.keys());
