import type { Failure, Request, RequestState, RequestView, TaskDelta } from '@toucanline/schema';
import { createFailure } from './createFailure.js';
import { CompletionWriter } from './CompletionWriter.js';
import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { Policy } from './Policy.js';
import type { Recovery } from './Recovery.js';
import { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { StopPlan } from './StopPlan.js';
import { TaskCommands } from './TaskCommands.js';
import type { TaskRecord } from './TaskRecord.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Components of the shard that the request lifecycle reads and changes. */
interface LifecycleDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly readPolicy: () => Policy;
}

/**
 * Moves requests between their states: applies retries, completions, cancellations and deadlines.
 */
export class RequestLifecycle {
  /** Sends commands for the tasks of requests to their workers. */
  public readonly commands: TaskCommands;
  readonly #context: ShardContext;
  readonly #dependencies: LifecycleDependencies;
  /** Requests of which a worker reported a task to this owner. */
  readonly #adoptedRequests = new WeakSet<RequestRecord>();
  /**
   * Adopted requests that are known only from tasks that have ended: no caller, entry or journal
   * entry has asked for them yet.
   */
  readonly #unconfirmed = new Set<RequestRecord>();
  /**
   * Unconfirmed requests that would have to start again; they are queued once somebody asks for
   * them.
   */
  readonly #deferred = new Set<RequestRecord>();
  readonly #completionWriter: CompletionWriter;

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that this class reads and changes
   */
  public constructor(context: ShardContext, dependencies: LifecycleDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.commands = new TaskCommands(context, dependencies.fleet, dependencies.table);
    this.#completionWriter = new CompletionWriter(context);
  }

  /**
   * Adds a request that a worker reported and that this owner does not know.
   *
   * @param request - the request as its task carries it
   * @returns the record of the request
   */
  public adoptRequest(request: Request): RequestRecord {
    const { clock } = this.#context;
    const now = clock.now();
    const offset = now - clock.wallTime();
    const deadlineAt = (request.deadlineAtMs ?? Infinity) + offset;
    const record = new RequestRecord(request, now, deadlineAt);
    // Another task of the request may have run elsewhere since the request was received.
    const receivedAt = (request.receivedAtMs ?? -Infinity) + offset;
    record.lowerEarliestStart(receivedAt - periods.wallClockMarginMs);
    this.#dependencies.table.add(record);
    this.#unconfirmed.add(record);
    return record;
  }

  /**
   * Records that the outcome of a request is needed by its entry, a caller or the journal. Queues
   * the request if its restart was deferred.
   *
   * @param record - the request
   */
  public registerInterest(record: RequestRecord): void {
    this.#unconfirmed.delete(record);
    if (this.#deferred.delete(record) && record.state === 'waiting') this.enqueue(record);
  }

  /**
   * Queues a request. A request that is known only from ended tasks may have completed long ago,
   * for example cancelled or succeeded on a worker that restarted since. Its restart is deferred
   * until its entry or a caller asks for it.
   *
   * @param record - the request
   */
  public enqueue(record: RequestRecord): void {
    if (!this.#unconfirmed.has(record)) this.#dependencies.queue.add(record);
    else {
      record.setReason('waits until its entry or its caller asks for it');
      this.#deferred.add(record);
    }
  }

  /**
   * Records that a worker reported a task of a request.
   *
   * @param record - the request
   * @param isActive - whether the task may still use capacity of the worker
   */
  public recordAdoption(record: RequestRecord, isActive: boolean): void {
    this.#adoptedRequests.add(record);
    if (isActive) this.registerInterest(record);
    this.#dependencies.recovery.stopHolding(record);
    this.#dependencies.queue.remove(record);
  }

  /**
   * Records that the journal contains the acceptance of a request that was known before the journal
   * was read.
   *
   * @param record - the request; if it has finished, its completion is written too
   */
  public confirmJournaled(record: RequestRecord): void {
    record.confirmAcceptance();
    this.registerInterest(record);
    if (record.isFinished) this.#completionWriter.writeCompletion(record);
  }

  /**
   * Finishes a request whose completion under a previous owner is in the journal, although a worker
   * reported a task of it. Tasks that are still active are stopped.
   *
   * @param record - the request
   * @param view - view of the request in its final state
   */
  public applyJournaledCompletion(record: RequestRecord, view: RequestView): void {
    if (record.isFinished) return;
    this.#removeOpen(record);
    const active = record.activeTasks;
    record.restore(view, this.#context.clock.now());
    record.clearTasks();
    for (const task of active) {
      const worker = this.#dependencies.fleet.find(task.worker);
      if (worker !== undefined) this.commands.stop(worker, task);
    }
    this.#context.emit({ effect: 'changed', requestId: record.id });
  }

  /**
   * Finishes a request.
   *
   * @param record - the request
   * @param state - final state
   * @param failure - reason; undefined if the request succeeded
   */
  public finish(record: RequestRecord, state: RequestState, failure?: Failure): void {
    const { clock, invariant, recorder, emit } = this.#context;
    if (record.isFinished) return;
    this.#removeOpen(record);
    record.finish(state, clock.now(), failure);
    invariant.check(
      record.activeTasks.length === 0,
      () => `request ${record.id} ended as ${state} while a task was active`,
    );
    recorder.record('requestFinished', {
      requestId: record.id,
      team: record.request.team,
      durationMs: clock.now() - record.arrivedAt,
      detail: failure === undefined ? state : `${state}: ${failure.kind}: ${failure.detail}`,
    });
    emit({ effect: 'changed', requestId: record.id });
    // The completion of a cancelled request is written even if it was not accepted: the entry that
    // holds the request may not learn of the cancellation before this owner fails.
    if (record.isAccepted || state === 'cancelled') this.#completionWriter.writeCompletion(record);
    else record.dropCommand();
  }

  #removeOpen(record: RequestRecord): void {
    this.#dependencies.queue.remove(record);
    this.#dependencies.recovery.stopHolding(record);
    this.#unconfirmed.delete(record);
    this.#deferred.delete(record);
  }

  /**
   * Applies the result of writing a completion or a cancellation to the journal.
   *
   * @param ticket - ticket of the commit
   * @param failure - why the entry is not in the journal; undefined if it was written
   * @returns false if the ticket belongs to neither
   */
  public applyCommitResult(ticket: number, failure?: Failure): boolean {
    return this.#completionWriter.applyCommitResult(ticket, failure);
  }

  /**
   * Checks whether the completion or cancellation of a request is being written to the journal.
   *
   * @param record - the request
   * @returns false once the last write is confirmed or failed
   */
  public isWriting(record: RequestRecord): boolean {
    return this.#completionWriter.isWriting(record);
  }

  /** Cancelled requests whose cancellation is not confirmed to be in the journal. */
  public get unwrittenCancellations(): readonly RequestRecord[] {
    return this.#completionWriter.unwrittenCancellations;
  }

  /**
   * Cancels a request.
   *
   * @param record - the request
   */
  public cancel(record: RequestRecord): void {
    if (record.isFinished) return;
    this.#context.recorder.record('requestCancelled', { requestId: record.id });
    this.#markCancelled(record);
    const isNew = record.stopPlan?.next !== 'cancelled';
    this.stopRequest(record, {
      next: 'cancelled',
      failure: createFailure('cancelled', 'the request was cancelled'),
    });
    // The next owner has to continue the cancellation even if the stop commands are lost.
    if (isNew && record.state === 'stopping') this.#completionWriter.writeCancellation(record);
  }

  /**
   * Continues a cancellation that is in the journal.
   *
   * @param record - the request
   * @param isHeld - whether recovery holds the request back, so that the cancellation completes
   * with the recovery
   */
  public resumeCancellation(record: RequestRecord, isHeld: boolean): void {
    if (record.isFinished) return;
    const failure = createFailure('cancelled', 'the request was cancelled under a previous owner');
    const plan = { next: 'cancelled', failure } as const;
    if (isHeld) record.beginStop(plan);
    else this.stopRequest(record, plan);
  }

  /**
   * Sends the cancellation to the workers of ended tasks too. A later owner adopts what they report
   * and would otherwise restart a task that ended before the cancellation.
   */
  #markCancelled(record: RequestRecord): void {
    for (const task of record.tasks) {
      const worker = this.#dependencies.fleet.find(task.worker);
      if (worker !== undefined && !task.isActive) this.commands.send(worker, task.id, 'stop', true);
    }
  }

  /**
   * Stops all tasks of a request and then continues with the stop plan.
   *
   * @param record - the request
   * @param plan - what happens once all tasks have stopped
   */
  public stopRequest(record: RequestRecord, plan: StopPlan): void {
    record.beginStop(plan);
    this.#dependencies.queue.remove(record);
    for (const task of record.activeTasks) {
      const worker = this.#dependencies.fleet.find(task.worker);
      if (worker === undefined || !task.isConfirmed || task.state === 'stopping') continue;
      this.commands.stop(worker, task);
    }
    this.#finishIfIdle(record);
  }

  /**
   * Handles a confirmed start: if the request is being stopped, the new task is stopped too.
   *
   * @param record - the request
   */
  public handleStart(record: RequestRecord): void {
    if (record.stopPlan !== undefined) this.stopRequest(record, record.stopPlan);
  }

  /**
   * Handles a start that is known not to have happened. It does not count against the retry budget.
   *
   * @param record - the request
   */
  public handleStartRefused(record: RequestRecord): void {
    if (record.stopPlan !== undefined) this.#finishIfIdle(record);
    else this.#requeue(record, false);
  }

  /**
   * Handles the end of a task on its worker.
   *
   * @param record - the request
   * @param task - attempt of the task
   * @param change - final state of the task, as its worker reported it
   */
  public handleTaskEnd(record: RequestRecord, task: TaskRecord, change: TaskDelta): void {
    if (change.state === 'succeeded') {
      record.completeTask(task.assignment.index, change.output ?? '');
      this.#finishIfIdle(record);
      return;
    }
    if (record.stopPlan !== undefined) {
      this.#finishIfIdle(record);
      return;
    }
    if (change.cancelled === true) {
      const failure = createFailure(
        'cancelled',
        'the request was cancelled under a previous owner',
      );
      this.stopRequest(record, { next: 'cancelled', failure });
      return;
    }
    const detail = change.detail ?? `task ${task.id} ended as ${change.state}`;
    const wasPreempted = change.state === 'stopped' || change.state === 'checkpointed';
    const mayRestart = record.request.idempotent || change.state === 'checkpointed';
    if (wasPreempted && mayRestart) this.#retry(record, false);
    else this.#fail(record, createFailure('workerRefused', detail), change.state === 'failed');
  }

  /**
   * Handles a task that was lost with its worker. It does not run any more, but its progress is
   * unknown.
   *
   * @param record - the request
   * @param task - attempt of the task
   * @param failure - why the task was lost
   */
  public handleTaskLost(record: RequestRecord, task: TaskRecord, failure: Failure): void {
    this.#context.recorder.record('taskStopped', {
      requestId: record.id,
      taskId: task.id,
      worker: task.worker,
      detail: failure.detail,
    });
    if (record.stopPlan !== undefined) this.#finishIfIdle(record);
    else if (record.request.idempotent) this.#fail(record, failure, false);
    else this.#stopAndFail(record, failure);
  }

  /**
   * Resends stop commands, applies deadlines and evicts finished requests after the retention
   * period.
   */
  public tick(): void {
    const now = this.#context.clock.now();
    this.commands.resendStops(now);
    this.#completionWriter.tick();
    for (const record of this.#dependencies.table.listOpen()) {
      if (now >= record.deadlineAt) this.#expire(record);
    }
    this.#evictFinished(now);
  }

  #expire(record: RequestRecord): void {
    const isServing = record.request.kind === 'service' && record.state === 'running';
    if (isServing || record.stopPlan !== undefined) return;
    const failure = createFailure('deadlinePassed', 'the deadline of the request passed');
    this.stopRequest(record, { next: 'failed', failure });
  }

  #evictFinished(now: number): void {
    for (const record of this.#dependencies.table.listFinished()) {
      // The remaining requests finished later.
      if (now - (record.finishedAt ?? now) <= periods.retentionMs) return;
      this.#dependencies.table.remove(record);
    }
  }

  #fail(record: RequestRecord, failure: Failure, isCharged: boolean): void {
    const retries = this.#dependencies.readPolicy().readRetries(record.request.queue);
    const mayRetry = record.request.idempotent && (!isCharged || record.retries < retries);
    if (mayRetry) this.#retry(record, isCharged);
    else this.#stopAndFail(record, failure);
  }

  #retry(record: RequestRecord, isCharged: boolean): void {
    this.#context.recorder.record('taskRetried', { requestId: record.id });
    if (record.request.kind === 'gang') this.stopRequest(record, { next: 'requeue', isCharged });
    else this.#requeue(record, isCharged);
  }

  #stopAndFail(record: RequestRecord, failure: Failure): void {
    this.stopRequest(record, { next: 'failed', failure });
  }

  #requeue(record: RequestRecord, isCharged: boolean): void {
    const { clock, random, emit } = this.#context;
    const exponent = Math.min(record.retries, 10);
    const delay = Math.min(periods.firstRetryDelayMs * 2 ** exponent, periods.maxRetryDelayMs);
    record.requeue(clock.now() + delay * (0.5 + random.next() / 2), isCharged);
    // During recovery another worker may still run a later attempt that a previous owner started.
    const mayRunElsewhere =
      !this.#dependencies.recovery.isComplete && this.#adoptedRequests.has(record);
    if (mayRunElsewhere) this.#dependencies.recovery.hold(record);
    else this.enqueue(record);
    emit({ effect: 'changed', requestId: record.id });
  }

  /** Once no task is active, finishes a complete request or continues with its stop plan. */
  #finishIfIdle(record: RequestRecord): void {
    if (record.isFinished || record.activeTasks.length > 0) return;
    if (record.isComplete) {
      this.finish(record, 'succeeded');
      return;
    }
    const plan = record.stopPlan;
    if (plan === undefined) return;
    if (plan.next === 'requeue') {
      record.resetCompletedTasks();
      this.#requeue(record, plan.isCharged ?? false);
      return;
    }
    this.finish(record, this.#chooseEnd(record, plan), plan.failure);
  }

  #chooseEnd(record: RequestRecord, plan: StopPlan): RequestState {
    if (plan.next === 'cancelled') return 'cancelled';
    if (plan.failure?.kind === 'outcomeUnknown') return 'unknown';
    return record.ran === 'no' ? 'refused' : 'failed';
  }
}
