import type { AcceptedEntry, JournalEntry, Request, ShardSnapshot } from '@toucanline/schema';
import { createFailure } from './createFailure.js';
import { createRestoredRecord } from './createRestoredRecord.js';
import type { Fleet } from './Fleet.js';
import { needsIntent } from './needsIntent.js';
import { periods } from './periods.js';
import type { Policy } from './Policy.js';
import type { Recovery } from './Recovery.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskTracker } from './TaskTracker.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Upper bound of the time until an owner knows the outcome of a start: the start window, two polls and a lease. */
const maxStartUncertaintyMs = 60_000;

/** Components of the shard that restored requests are added to. */
interface RestorerDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly lifecycle: RequestLifecycle;
  readonly tracker: TaskTracker;
  readonly readPolicy: () => Policy;
}

/**
 * Restores the requests of previous owners from the journal or a snapshot, and holds them back until it is known
 * which of them are running.
 */
export class RequestRestorer {
  readonly #context: ShardContext;
  readonly #dependencies: RestorerDependencies;

  /**
   * @param context - identity and services that the components of the shard share
   * @param dependencies - components to add the requests to
   */
  public constructor(context: ShardContext, dependencies: RestorerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Loads the journal of previous owners. Requests already known from reports of workers or from a snapshot
   * keep their state, unless the journal has their completion.
   *
   * @param entries - entries, oldest first
   */
  public loadJournal(entries: readonly JournalEntry[]): void {
    const { clock } = this.#context;
    const loaded = new Map<string, RequestRecord>();
    const known = new Map<string, RequestRecord>();
    const cancelled = new Set<string>();
    for (const entry of entries) {
      if (entry.entry === 'accepted') {
        const record = this.#dependencies.table.find(entry.request.id);
        if (record !== undefined) known.set(record.id, record);
        else loaded.set(entry.request.id, this.#loadAccepted(entry));
      } else if (entry.entry === 'intent') {
        const record = loaded.get(entry.requestId);
        // A worker forgets a finished task once an owner acknowledged it, and an owner may do so before the
        // journal has the completion. A missing report therefore does not prove that the task did not run.
        record?.addUncertainStart(1);
      } else if (entry.entry === 'cancelled') {
        cancelled.add(entry.requestId);
      } else {
        const { id } = entry.view;
        loaded.get(id)?.restore(entry.view, clock.now());
        loaded.delete(id);
        const record = known.get(id);
        known.delete(id);
        if (record !== undefined)
          this.#dependencies.lifecycle.applyJournaledCompletion(record, entry.view);
      }
    }
    for (const record of known.values()) this.#dependencies.lifecycle.confirmJournaled(record);
    for (const id of cancelled) {
      const record = this.#dependencies.table.find(id);
      if (record !== undefined)
        this.#dependencies.lifecycle.resumeCancellation(record, loaded.has(id));
    }
    for (const record of loaded.values()) {
      if (this.#dependencies.recovery.isComplete) this.#resume(record);
      else this.#dependencies.recovery.hold(record);
    }
    this.#dependencies.recovery.markJournalLoaded();
  }

  /**
   * Restores the snapshot of the owner of the previous epoch. The host list has to be applied before.
   *
   * @param snapshot - state of the previous owner when it stopped acting
   */
  public restoreSnapshot({ drained, requests, reports }: ShardSnapshot): void {
    for (const worker of drained) this.#dependencies.fleet.setDrained(worker, true);
    const now = this.#context.clock.now();
    const open: RequestRecord[] = [];
    const cancelled: RequestRecord[] = [];
    for (const held of requests) {
      const record = createRestoredRecord(held, now);
      this.#dependencies.table.add(record);
      if (held.cancelled === true) cancelled.push(record);
      if (held.view !== undefined) continue;
      if (held.uncertain) {
        record.addUncertainStart(held.attempt, now - maxStartUncertaintyMs);
        this.#dependencies.recovery.hold(record);
      } else open.push(record);
    }
    for (const report of reports) {
      const worker = this.#dependencies.fleet.find(report.worker);
      if (worker === undefined) continue;
      // The snapshot may have been in transit for any time, so only a lower bound of the clock is known.
      this.#dependencies.tracker.applyReport(worker, report, -Infinity);
      worker.contact.grantLease(report.leaseUntil);
      worker.contact.requestFullReport();
    }
    for (const record of open) this.#enqueueRest(record);
    for (const record of cancelled) this.#dependencies.lifecycle.cancel(record);
  }

  /**
   * Queues a request, or holds it back as long as a previous owner may have started it.
   *
   * @param record - the request
   */
  public enqueue(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    const mayHaveStarted = record.ran !== 'no' || record.request.idempotencyKey !== undefined;
    if (mayHaveStarted && !this.#dependencies.recovery.isComplete)
      this.#dependencies.recovery.hold(record);
    else this.#resume(record);
  }

  /**
   * Resumes the held requests once recovery is complete.
   *
   * @returns true if recovery completed with this call
   */
  public finishRecovery(): boolean {
    const held = this.#dependencies.recovery.finish();
    if (held === undefined) return false;
    for (const record of held) this.#resume(record);
    for (const record of this.#dependencies.table.listOpen()) {
      if (record.activeTasks.length === 0 || record.pendingIndexes.length === 0) continue;
      if (this.#dependencies.recovery.isProvenNotStarted(record) || record.request.idempotent)
        this.#enqueueRest(record);
      else {
        const detail = 'a worker that may have run a task cannot be reached or restarted';
        const failure = createFailure('outcomeUnknown', detail);
        this.#dependencies.lifecycle.stopRequest(record, { next: 'failed', failure });
      }
    }
    this.#dependencies.fleet.incrementVersion();
    return true;
  }

  /**
   * Checks whether an owner that was cut off may have stopped the request without a commit, in which case no
   * worker reports it any more.
   */
  #mayBeForgotten(request: Request): boolean {
    const isReleasable = this.#dependencies.readPolicy().releaseDelaysMs.has(request.queue);
    return isReleasable && !request.idempotent && !needsIntent(request);
  }

  #loadAccepted({ request, deadlineAtMs, atMs }: AcceptedEntry): RequestRecord {
    const { clock } = this.#context;
    const deadlineAt = clock.now() + deadlineAtMs - clock.wallTime();
    const record = new RequestRecord(request, clock.now(), deadlineAt);
    // A previous owner may have started it; only reports of the workers prove that it did not.
    const ageMs = this.#mayBeForgotten(request)
      ? Infinity
      : clock.wallTime() - (atMs ?? -Infinity) + periods.wallClockMarginMs;
    record.addUncertainStart(0, clock.now() - ageMs);
    record.confirmAcceptance();
    this.#dependencies.table.add(record);
    return record;
  }

  /** Resumes a held request. It is started only if it provably did not run or is idempotent. */
  #resume(record: RequestRecord): void {
    if (record.isFinished || record.activeTasks.length > 0) return;
    if (this.#dependencies.recovery.isProvenNotStarted(record)) record.clearUncertainStarts();
    if (record.stopPlan !== undefined) {
      this.#dependencies.lifecycle.stopRequest(record, record.stopPlan);
      return;
    }
    // The next tick finishes a request whose deadline passed while it was held.
    if (this.#context.clock.now() >= record.deadlineAt) return;
    const detail = 'a worker that may have run the request cannot be reached or restarted';
    if (record.ran === 'no' || record.request.idempotent) {
      this.#dependencies.lifecycle.enqueue(record);
    } else
      this.#dependencies.lifecycle.finish(
        record,
        'unknown',
        createFailure('outcomeUnknown', detail),
      );
  }

  /** Queues a request if the previous owner had not started all of its tasks. */
  #enqueueRest(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    if (record.pendingIndexes.length > 0) this.#dependencies.lifecycle.enqueue(record);
  }
}
