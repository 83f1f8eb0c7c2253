import {
  describePlacements,
  type MetadataStore,
  type PendingProgress,
  type Scheduler,
} from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import { storeKeys } from './storeKeys.js';

/** Records in one transaction: the store accepts 32 entries, two conditions, the order and the placements included. */
const maxRecordsPerWrite = 28;

type ProgressRecords = ReturnType<PendingProgress['takeBatch']>['progress'];

/**
 * Writes the progress of jobs, so that the ends of runs are stored before they are acknowledged to the workers. Each
 * write replaces the order key on condition of its revision, so a write that takes effect late cannot overwrite newer
 * progress. The placements are written along at intervals, and without progress once the usage of an account with a cap
 * has changed: the next leader counts them for workers that it cannot reach.
 */
export class ProgressWriter {
  readonly #store: MetadataStore;
  readonly #scheduler: Scheduler;
  readonly #leaderLease: LeaderLease;
  readonly #log: EventLog;
  readonly #onWritten: () => void;
  readonly #onLeaseLost: () => void;
  #orderRevision: number;
  #placementsWrittenAt = -Infinity;
  /** Changes of capped usage that the stored placements include. */
  #writtenUsageChanges = 0;
  /** Monotonic time in milliseconds at which the last batch was taken that left nothing unwritten. */
  #wholeBatchAt = performance.now();
  #activeRun: Promise<void> | undefined;
  #isFlushing = false;
  #flushed: Promise<void> | undefined;
  #isStopped = false;

  /**
   * @param store - metadata store
   * @param scheduler - owns the pending progress
   * @param leaderLease - leader lease of this term
   * @param orderRevision - store revision of the order key
   * @param log - event log of this process
   * @param onWritten - called after each successful write
   * @param onLeaseLost - called when the store shows another leader
   */
  public constructor(
    store: MetadataStore,
    scheduler: Scheduler,
    leaderLease: LeaderLease,
    orderRevision: number,
    log: EventLog,
    onWritten: () => void,
    onLeaseLost: () => void,
  ) {
    this.#store = store;
    this.#scheduler = scheduler;
    this.#leaderLease = leaderLease;
    this.#orderRevision = orderRevision;
    this.#log = log;
    this.#onWritten = onWritten;
    this.#onLeaseLost = onLeaseLost;
  }

  /** Starts to write pending progress, unless a write is already running. */
  public requestWrite(): void {
    if (this.#activeRun !== undefined || this.#isStopped || this.#isFlushing) return;
    const isUsageDue = this.#hasUnwrittenUsage && this.#arePlacementsDue(performance.now());
    if (!this.#scheduler.progress.hasPending && !isUsageDue) return;
    this.#activeRun = this.#writePending().finally(() => {
      this.#activeRun = undefined;
    });
  }

  /** Stops the writer after the current write. */
  public stop(): void {
    this.#isStopped = true;
  }

  /** Writes pending progress a last time, before the leader lease is given up. Further calls wait for the same write. */
  public flush(): Promise<void> {
    this.#flushed ??= this.#flush();
    return this.#flushed;
  }

  async #flush(): Promise<void> {
    // Of two concurrent writes, one could acknowledge ends that the slower one has not written yet.
    this.#isFlushing = true;
    await this.#activeRun;
    this.#placementsWrittenAt = -Infinity;
    if (this.#scheduler.progress.hasPending && !this.#isStopped) await this.#writeBatch();
    if (this.#hasUnwrittenUsage && !this.#isStopped) await this.#commit([]);
    this.#isStopped = true;
  }

  get #hasUnwrittenUsage(): boolean {
    return this.#scheduler.cappedUsageChanges !== this.#writtenUsageChanges;
  }

  #arePlacementsDue(now: number): boolean {
    return now - this.#placementsWrittenAt >= hostLimits.placementsIntervalMs;
  }

  async #writePending(): Promise<void> {
    if (!this.#scheduler.progress.hasPending && !(await this.#commit([])))
      await new Promise((resolve) => setTimeout(resolve, hostLimits.progressRetryMs));
    while (!this.#isStopped && !this.#isFlushing && this.#scheduler.progress.hasPending) {
      const isWritten = await this.#writeBatch();
      const pauseMs = isWritten ? hostLimits.minProgressIntervalMs : hostLimits.progressRetryMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  async #writeBatch(): Promise<boolean> {
    const { progress } = this.#scheduler;
    const startedAt = performance.now();
    // A slow store takes one transaction at a time: finished jobs then go first, and the rest follows in turns.
    const isWhole =
      this.#isFlushing || startedAt - this.#wholeBatchAt >= hostLimits.maxWholeBatchDelayMs;
    const batch = progress.takeBatch(isWhole ? Infinity : maxRecordsPerWrite);
    if (progress.unwrittenCount === 0) this.#wholeBatchAt = startedAt;
    for (let from = 0; from < batch.progress.length; from += maxRecordsPerWrite) {
      const records = batch.progress.slice(from, from + maxRecordsPerWrite);
      if (!(await this.#commit(records))) {
        progress.requeueBatch(batch);
        return false;
      }
      this.#publish(records);
    }
    progress.confirmBatch(batch);
    this.#onWritten();
    return true;
  }

  #publish(records: ProgressRecords): void {
    this.#scheduler.progress.publish(records);
    for (const { id, state, finishedAtMs } of records) {
      if (finishedAtMs === undefined) continue;
      this.#log.write('jobFinished', { request: id, state, revision: this.#orderRevision });
    }
  }

  async #commit(records: ProgressRecords): Promise<boolean> {
    const startedAt = performance.now();
    const arePlacementsDue = this.#arePlacementsDue(startedAt);
    const usageChanges = this.#scheduler.cappedUsageChanges;
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#leaderLease.holderRevision },
        { key: storeKeys.progressOrder, revision: this.#orderRevision },
      ],
      put: [
        { key: storeKeys.progressOrder, value: String(this.#leaderLease.term) },
        ...(arePlacementsDue ? [this.#describePlacements()] : []),
        ...records.map((record) => ({
          key: storeKeys.progressPrefix + record.id,
          value: JSON.stringify(record),
        })),
      ],
    });
    if (outcome.isErr()) {
      this.#log.write('progressNotWritten', { jobs: records.length, reason: outcome.error.kind });
      return false;
    }
    if (outcome.value.committed) {
      this.#orderRevision = outcome.value.revision;
      if (arePlacementsDue) {
        this.#placementsWrittenAt = startedAt;
        this.#writtenUsageChanges = usageChanges;
      }
      return true;
    }
    return this.#handleConflict(outcome.value.items);
  }

  #describePlacements(): { readonly key: string; readonly value: string } {
    const value = JSON.stringify(describePlacements(this.#scheduler.workers));
    return { key: storeKeys.placements, value };
  }

  #handleConflict(items: readonly { readonly key: string; readonly revision: number }[]): false {
    const holder = items.find(({ key }) => key === storeKeys.holder);
    if (holder?.revision !== this.#leaderLease.holderRevision) {
      this.#isStopped = true;
      this.#onLeaseLost();
      return false;
    }
    // An earlier write without an answer did take effect.
    this.#orderRevision = items.find(({ key }) => key === storeKeys.progressOrder)?.revision ?? 0;
    return false;
  }
}
