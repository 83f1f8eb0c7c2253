import type { MetadataStore, PendingProgress, Scheduler } from '@toucanline/jobs';
import type { Placements } from '@toucanline/schema';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import { storeKeys } from './storeKeys.js';

/** Records in one transaction: the store accepts 32 entries, two conditions, the order and the placements included. */
const maxRecordsPerWrite = 28;

type ProgressRecords = ReturnType<PendingProgress['takeBatch']>['progress'];

/** Called on events of the writer. */
interface ProgressWriterListener {
  /** Called after each successful write of progress. */
  readonly onWritten: () => void;
  /** Called when higher allowances are stored, so that more tasks may start. */
  readonly onAllowancesRaised: () => void;
  /** Called when the store shows another leader. */
  readonly onLeaseLost: () => void;
}

/**
 * Writes the progress of jobs, so that the ends of runs are stored before they are acknowledged to the workers. Each
 * write replaces the order key on condition of its revision, so a write that takes effect late cannot overwrite newer
 * progress. The placements are written along at intervals, and without progress once the usage or an allowance of an
 * account with a cap has changed: the next leader counts them for workers that it cannot reach. They are written at once
 * if starts wait for a higher allowance.
 */
export class ProgressWriter {
  readonly #store: MetadataStore;
  readonly #scheduler: Scheduler;
  readonly #leaderLease: LeaderLease;
  readonly #log: EventLog;
  readonly #listener: ProgressWriterListener;
  #orderRevision: number;
  #placementsWrittenAt = -Infinity;
  /** Monotonic times in milliseconds of the last writes of placements that did not wait for their interval. */
  #urgentWriteTimes: readonly number[] = [];
  /** Changes of capped usage that the stored placements include. */
  #writtenUsageChanges = 0;
  /** Monotonic time in milliseconds at which the last batch was taken that left nothing unwritten. */
  #wholeBatchAt = performance.now();
  #activeRun: Promise<void> | undefined;
  #isFlushing = false;
  #flushed: Promise<void> | undefined;
  #areFinalAllowancesWritten = false;
  #isStopped = false;

  /**
   * @param store - metadata store
   * @param scheduler - owns the pending progress
   * @param leaderLease - leader lease of this term
   * @param orderRevision - store revision of the order key
   * @param log - event log of this process
   * @param listener - called on events of the writer
   */
  public constructor(
    store: MetadataStore,
    scheduler: Scheduler,
    leaderLease: LeaderLease,
    orderRevision: number,
    log: EventLog,
    listener: ProgressWriterListener,
  ) {
    this.#store = store;
    this.#scheduler = scheduler;
    this.#leaderLease = leaderLease;
    this.#orderRevision = orderRevision;
    this.#log = log;
    this.#listener = listener;
  }

  /** Starts to write pending progress, unless a write is already running. */
  public requestWrite(): void {
    if (this.#activeRun !== undefined || this.#isStopped || this.#isFlushing) return;
    if (!this.#isWriteNeeded) return;
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
    const hasAllowances =
      this.#scheduler.capAllowances.hasAccounts && !this.#areFinalAllowancesWritten;
    if ((this.#hasUnwrittenUsage || hasAllowances) && !this.#isStopped) await this.#commit([]);
    this.#isStopped = true;
  }

  get #isWriteNeeded(): boolean {
    const { progress, capAllowances } = this.#scheduler;
    if (progress.hasPending) return true;
    const now = performance.now();
    if (this.#arePlacementsDue(now)) return this.#hasUnwrittenUsage || capAllowances.isWriteNeeded;
    return this.#isAllowanceUrgent(now);
  }

  get #hasUnwrittenUsage(): boolean {
    return this.#scheduler.cappedUsageChanges !== this.#writtenUsageChanges;
  }

  #arePlacementsDue(now: number): boolean {
    return now - this.#placementsWrittenAt >= hostLimits.placementsIntervalMs;
  }

  /** Whether starts wait for a higher allowance, and the placements may be written before their interval is over. */
  #isAllowanceUrgent(now: number): boolean {
    const { isShort, isWriteNeeded } = this.#scheduler.capAllowances;
    if (!isShort || !isWriteNeeded) return false;
    const recent = this.#urgentWriteTimes.filter((time) => now - time < 1000);
    return recent.length < hostLimits.maxUrgentPlacementsPerSecond;
  }

  #recordUrgentWrite(now: number): void {
    const { maxUrgentPlacementsPerSecond } = hostLimits;
    this.#urgentWriteTimes = [...this.#urgentWriteTimes, now].slice(-maxUrgentPlacementsPerSecond);
  }

  async #writePending(): Promise<void> {
    while (!this.#isStopped && !this.#isFlushing && this.#isWriteNeeded) {
      const hasProgress = this.#scheduler.progress.hasPending;
      const isWritten = hasProgress ? await this.#writeBatch() : await this.#commit([]);
      if (isWritten && !hasProgress) continue;
      const pauseMs = isWritten ? hostLimits.minProgressIntervalMs : hostLimits.progressRetryMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
      if (!hasProgress) return;
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
    this.#listener.onWritten();
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
    const isRegular = this.#arePlacementsDue(startedAt);
    const isUrgent = !isRegular && this.#isAllowanceUrgent(startedAt);
    if (isUrgent) this.#recordUrgentWrite(startedAt);
    const usageChanges = this.#scheduler.cappedUsageChanges;
    const placements =
      isRegular || isUrgent ? this.#scheduler.beginPlacementsWrite(this.#isFlushing) : undefined;
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#leaderLease.holderRevision },
        { key: storeKeys.progressOrder, revision: this.#orderRevision },
      ],
      put: [
        { key: storeKeys.progressOrder, value: String(this.#leaderLease.term) },
        ...(placements === undefined
          ? []
          : [{ key: storeKeys.placements, value: JSON.stringify(placements) }]),
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
    if (!outcome.value.committed) return this.#handleConflict(outcome.value.items);
    this.#orderRevision = outcome.value.revision;
    if (placements !== undefined) {
      this.#placementsWrittenAt = startedAt;
      this.#writtenUsageChanges = usageChanges;
      this.#confirmPlacements(placements);
    }
    return true;
  }

  #confirmPlacements({ allowances }: Placements): void {
    if (this.#isFlushing) this.#areFinalAllowancesWritten = true;
    if (this.#scheduler.capAllowances.confirmWrite(allowances)) this.#listener.onAllowancesRaised();
  }

  #handleConflict(items: readonly { readonly key: string; readonly revision: number }[]): false {
    const holder = items.find(({ key }) => key === storeKeys.holder);
    if (holder?.revision !== this.#leaderLease.holderRevision) {
      this.#isStopped = true;
      this.#listener.onLeaseLost();
      return false;
    }
    // An earlier write without an answer did take effect.
    this.#orderRevision = items.find(({ key }) => key === storeKeys.progressOrder)?.revision ?? 0;
    return false;
  }
}
