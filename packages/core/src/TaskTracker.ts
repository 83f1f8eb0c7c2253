import type { Failure, Report, TaskDelta, TaskReport, WorkerRefusal } from '@toucanline/schema';
import { createFailure } from './createFailure.js';
import type { Fleet } from './Fleet.js';
import type { OveruseEnforcer } from './OveruseEnforcer.js';
import type { Quarantine } from './Quarantine.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import { TaskRecord } from './TaskRecord.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Components of the shard that the task tracker reads and changes. */
interface TrackerDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly ledger: TeamLedger;
  readonly lifecycle: RequestLifecycle;
  readonly quarantine: Quarantine;
  readonly overuse: OveruseEnforcer;
}

const isActiveState = (state: TaskReport['state']): boolean =>
  state === 'running' || state === 'starting' || state === 'stopping';

/** Tracks the tasks on the workers: applies reports and start responses and expires leases. */
export class TaskTracker {
  readonly #context: ShardContext;
  readonly #dependencies: TrackerDependencies;

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that this class reads and changes
   */
  public constructor(context: ShardContext, dependencies: TrackerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Applies the report of a worker.
   *
   * @param worker - the worker
   * @param report - its report
   * @param sentAt - monotonic time before the poll was sent, in milliseconds
   */
  public applyReport(worker: WorkerRecord, report: Report, sentAt: number): void {
    const isNewBoot = worker.bootId !== '' && worker.bootId !== report.bootId;
    if (isNewBoot) this.#markTasksLost(worker, 'the worker restarted');
    this.#dependencies.fleet.applyReport(worker, report, sentAt);
    for (const task of worker.tasks) task.clearGrowth();
    for (const task of report.tasks) this.#applyTask(worker, task);
    for (const change of report.changes) this.#applyChange(worker, change);
    this.#reconcileMissing(worker, report, sentAt);
    worker.occupancy.recalculate();
    this.#dependencies.overuse.check(worker);
  }

  /**
   * Applies the response to a start command.
   *
   * @param task - the task
   * @param response - undefined if the worker accepted the start; its refusal; or a failure if the
   * outcome is unknown
   */
  public applyStartResponse(task: TaskRecord, response?: WorkerRefusal | Failure): void {
    const record = this.#dependencies.table.find(task.assignment.request.id);
    if (record?.findTask(task.assignment.index) !== task) return;
    if (response === undefined || ('refusal' in response && response.refusal === 'duplicate')) {
      if (task.state === 'starting') this.#confirm(record, task);
      return;
    }
    const worker = this.#dependencies.fleet.find(task.worker);
    if (!('refusal' in response)) {
      // The outcome is unknown until a full report that was made after the start window.
      worker?.contact.requestFullReport();
      if (worker !== undefined) {
        this.#context.emit({ effect: 'interrupt', worker: worker.id, address: worker.address });
      }
      return;
    }
    if (response.refusal === 'leaving') worker?.markLeaving();
    this.revertStart(record, task, response.detail);
  }

  /**
   * Reverts the placement of a task that is known not to have started.
   *
   * @param record - the request
   * @param task - attempt of the task
   * @param detail - why the task did not start
   */
  public revertStart(record: RequestRecord, task: TaskRecord, detail: string): void {
    if (!task.isActive || task.isConfirmed) return;
    this.#context.recorder.record('taskRefused', {
      requestId: record.id,
      taskId: task.id,
      worker: task.worker,
      detail,
    });
    this.#releaseResources(task);
    record.markNotStarted(task);
    this.#dependencies.lifecycle.handleStartRefused(record);
  }

  /**
   * Marks leases as expired that have certainly expired on the clocks of their workers, and marks
   * the tasks of these workers as lost.
   */
  public expireLeases(): void {
    const now = this.#context.clock.now();
    for (const worker of this.#dependencies.fleet.workers) {
      if (worker.isLeaseExpired || worker.clock === undefined) continue;
      if (worker.clock.calculateLowerBoundMs(now) <= worker.leaseUntil) continue;
      worker.markLeaseExpired();
      this.#context.recorder.record('leaseLapsed', {
        worker: worker.id,
        shard: this.#context.shard,
      });
      this.#markTasksLost(worker, 'the lease of the worker expired');
    }
  }

  #applyTask(worker: WorkerRecord, report: TaskReport): void {
    const { assignment, ...change } = report;
    const { table, lifecycle } = this.#dependencies;
    let record = table.findReported(assignment.request);
    record ??= lifecycle.adoptRequest(assignment.request);
    const known = record.findTask(assignment.index);
    if (known?.id !== assignment.taskId) {
      // An active task is never replaced, not even by a higher attempt of a previous owner.
      const isLate =
        known !== undefined && (known.isActive || known.assignment.attempt >= assignment.attempt);
      if (isLate) {
        this.#dropStaleAttempt(worker, report);
        return;
      }
      if (record.isFinished) {
        this.#stopOrphan(worker, report);
        return;
      }
      this.#adoptTask(worker, record, report);
    }
    this.#applyChange(worker, { taskId: assignment.taskId, ...change });
  }

  #adoptTask(worker: WorkerRecord, record: RequestRecord, { assignment, state }: TaskReport): void {
    const { clock, dataCentre, recorder } = this.#context;
    const task = new TaskRecord(assignment, worker.id, dataCentre, clock.now());
    record.addTask(task);
    worker.addTask(task);
    this.#dependencies.ledger.charge(assignment.request.team, assignment.request.size);
    this.#dependencies.lifecycle.recordAdoption(record, isActiveState(state));
    recorder.record('taskAdopted', {
      requestId: record.id,
      taskId: task.id,
      worker: worker.id,
    });
  }

  /**
   * Handles the report of a stale attempt: its worker must not run it, and its output is not
   * delivered.
   */
  #dropStaleAttempt(worker: WorkerRecord, report: TaskReport): void {
    const { assignment, state } = report;
    this.#context.recorder.record('lateAnswerDropped', {
      requestId: assignment.request.id,
      taskId: assignment.taskId,
      worker: worker.id,
      detail: `attempt ${assignment.attempt} reported as ${state}`,
    });
    this.#stopOrphan(worker, report);
  }

  /** Stops a task that belongs to no request. It uses capacity until its worker reports its end. */
  #stopOrphan(worker: WorkerRecord, { assignment, state, usage }: TaskReport): void {
    const known = worker.tasks.find(({ id }) => id === assignment.taskId);
    if (!isActiveState(state)) {
      if (known !== undefined) this.#finishOrphan(known, state);
      return;
    }
    if (known !== undefined) return;
    const { clock, dataCentre } = this.#context;
    const task = new TaskRecord(assignment, worker.id, dataCentre, clock.now());
    task.confirm(clock.now());
    task.setUsage(usage);
    worker.addTask(task);
    this.#dependencies.ledger.charge(assignment.request.team, assignment.request.size);
    this.#dependencies.lifecycle.commands.stop(worker, task);
  }

  /** Returns the request of a task; undefined if the task is no longer the current attempt. */
  #findRequest(task: TaskRecord): RequestRecord | undefined {
    const record = this.#dependencies.table.find(task.assignment.request.id);
    return record?.findTask(task.assignment.index) === task ? record : undefined;
  }

  #finishOrphan(task: TaskRecord, state: TaskDelta['state']): void {
    this.#releaseResources(task);
    task.setState(state);
  }

  #applyChange(worker: WorkerRecord, change: TaskDelta): void {
    const task = worker.tasks.find(({ id }) => id === change.taskId);
    if (task === undefined) return;
    const record = this.#findRequest(task);
    task.setUsage(change.usage);
    if (change.state === 'starting') return;
    if (record !== undefined && !task.isConfirmed) this.#confirm(record, task);
    if (change.state === 'running' || change.state === 'stopping') return;
    if (record === undefined) {
      this.#finishOrphan(task, change.state);
      return;
    }
    this.#releaseResources(task);
    task.setState(change.state);
    this.#context.recorder.record('taskFinished', {
      requestId: record.id,
      taskId: task.id,
      worker: worker.id,
      detail: change.state,
    });
    const { quarantine } = this.#dependencies;
    if (change.state === 'succeeded') quarantine.recordSuccess(worker, record.request);
    else if (change.state === 'failed') {
      record.avoidWorker(worker.id);
      quarantine.recordFailure(worker, record.request);
    }
    this.#dependencies.lifecycle.handleTaskEnd(record, task, change);
  }

  /** Handles tasks that are missing from a full report. */
  #reconcileMissing(worker: WorkerRecord, report: Report, sentAt: number): void {
    if (!report.full) return;
    const listed = new Set(report.tasks.map(({ assignment }) => assignment.taskId));
    for (const task of worker.tasks) {
      if (listed.has(task.id)) continue;
      const record = this.#findRequest(task);
      if (record === undefined) this.#finishOrphan(task, 'lapsed');
      else if (task.isConfirmed && sentAt < task.confirmedAt) {
        // The report may have been made before the start, whose response arrived first.
        worker.contact.requestFullReport();
      } else if (task.isConfirmed)
        this.#markTaskLost(record, task, 'the worker no longer reports the task');
      else if (report.clockMs > task.latestStartAt) {
        this.revertStart(record, task, 'the start command did not arrive in time');
      } else if (task.latestStartAt !== Infinity) worker.contact.requestFullReport();
    }
  }

  #confirm(record: RequestRecord, task: TaskRecord): void {
    const { recorder, clock, emit } = this.#context;
    record.confirmStart(task, clock.now());
    recorder.record('taskStarted', {
      requestId: record.id,
      taskId: task.id,
      worker: task.worker,
      team: record.request.team,
      durationMs: clock.now() - record.arrivedAt,
    });
    emit({ effect: 'changed', requestId: record.id });
    this.#dependencies.lifecycle.handleStart(record);
  }

  #markTasksLost(worker: WorkerRecord, detail: string): void {
    for (const task of worker.tasks) {
      const record = this.#findRequest(task);
      if (record === undefined) this.#finishOrphan(task, 'lapsed');
      else this.#markTaskLost(record, task, detail);
    }
  }

  #markTaskLost(record: RequestRecord, task: TaskRecord, detail: string): void {
    this.#releaseResources(task);
    task.setState('lapsed');
    this.#dependencies.lifecycle.handleTaskLost(
      record,
      task,
      createFailure('outcomeUnknown', detail),
    );
  }

  #releaseResources(task: TaskRecord): void {
    const { team, size } = task.assignment.request;
    this.#dependencies.fleet.find(task.worker)?.occupancy.remove(task.id);
    this.#dependencies.ledger.release(team, size);
  }
}
