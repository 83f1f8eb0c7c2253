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

/** Time within which an owner confirms or disproves a start: its window, two polls and a lease. */
const uncertainMs = 60_000;

/** Parts of the shard that inherited work is brought into. */
interface RestorerDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly lifecycle: RequestLifecycle;
  readonly tracker: TaskTracker;
  readonly readPolicy: () => Policy;
}

/** Requests of earlier owners: from the journal, from a snapshot, and held back until it is known what runs. */
export class RequestRestorer {
  readonly #context: ShardContext;
  readonly #dependencies: RestorerDependencies;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts to bring the work into
   */
  public constructor(context: ShardContext, parts: RestorerDependencies) {
    this.#context = context;
    this.#dependencies = parts;
  }

  /**
   * Loads the journal of earlier owners. Requests that workers reported before or that a snapshot brought
   * keep their state, unless the journal has their end.
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
        // A worker forgets an ended task once its end was acknowledged, which an owner may do before the
        // journal has the end. So no absence of a report proves that the task did not run.
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
   * Starts from the snapshot of the owner of the epoch before, after the host list was applied.
   *
   * @param snapshot - its state when it stopped to act
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
        record.addUncertainStart(held.attempt, now - uncertainMs);
        this.#dependencies.recovery.hold(record);
      } else open.push(record);
    }
    for (const report of reports) {
      const worker = this.#dependencies.fleet.find(report.worker);
      if (worker === undefined) continue;
      // The transport of the snapshot is not bounded, so only the lower bound of the clock is known.
      this.#dependencies.tracker.applyReport(worker, report, -Infinity);
      worker.contact.grantLease(report.leaseUntil);
      worker.contact.requestFullReport();
    }
    for (const record of open) this.#enqueueRest(record);
    for (const record of cancelled) this.#dependencies.lifecycle.cancel(record);
  }

  /**
   * Queues a request, or holds it back while an earlier owner may have it running.
   *
   * @param record - the request
   */
  public enqueue(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    const mayRunAlready = record.ran !== 'no' || record.request.idempotencyKey !== undefined;
    if (mayRunAlready && !this.#dependencies.recovery.isComplete)
      this.#dependencies.recovery.hold(record);
    else this.#resume(record);
  }

  /**
   * Lets the held requests go on once the recovery is over.
   *
   * @returns true if the recovery ended with this call
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

  /** A cut-off owner may have stopped it without a commit, and then no worker reports it any more. */
  #mayBeForgotten(request: Request): boolean {
    const isReleasable = this.#dependencies.readPolicy().releaseDelaysMs.has(request.queue);
    return isReleasable && !request.idempotent && !needsIntent(request);
  }

  #loadAccepted({ request, deadlineAtMs, atMs }: AcceptedEntry): RequestRecord {
    const { clock } = this.#context;
    const deadlineAt = clock.now() + deadlineAtMs - clock.wallTime();
    const record = new RequestRecord(request, clock.now(), deadlineAt);
    // The earlier owner may have started it: only the reports of the workers prove that it did not.
    const age = this.#mayBeForgotten(request)
      ? Infinity
      : clock.wallTime() - (atMs ?? -Infinity) + periods.wallClockMarginMs;
    record.addUncertainStart(0, clock.now() - age);
    record.confirmAcceptance();
    this.#dependencies.table.add(record);
    return record;
  }

  /** Lets a held request go on: only proof or idempotence permits a start. */
  #resume(record: RequestRecord): void {
    if (record.isFinished || record.activeTasks.length > 0) return;
    if (this.#dependencies.recovery.isProvenNotStarted(record)) record.clearUncertainStarts();
    if (record.stopPlan !== undefined) {
      this.#dependencies.lifecycle.stopRequest(record, record.stopPlan);
      return;
    }
    // The next tick ends a request whose deadline passed while it was held.
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

  /** Queues a request whose former owner had not started all of its tasks. */
  #enqueueRest(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    if (record.pendingIndexes.length > 0) this.#dependencies.lifecycle.enqueue(record);
  }
}
