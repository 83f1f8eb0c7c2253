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

/** Records in one transaction: the store takes 32 entries, three of which order the leader's writes. */
const maxRecordsPerWrite = 28;

/**
 * Writes the ends of tasks before the workers may forget them. Each write replaces `placements`, on whose revision
 * the next one depends: a write that takes effect late cannot overwrite newer progress.
 */
export class ProgressWriter {
  readonly #store: MetadataStore;
  readonly #scheduler: Scheduler;
  readonly #leaderLease: LeaderLease;
  readonly #log: EventLog;
  readonly #onWritten: () => void;
  readonly #onLeaseLost: () => void;
  #placementsRevision: number;
  #activeRun: Promise<void> | undefined;
  #isFlushing = false;
  #isStopped = false;

  /**
   * @param store - the store
   * @param scheduler - has the progress
   * @param claim - claim of this leader
   * @param revision - revision of the order of writes
   * @param log - log of the process
   * @param written - called after a write
   * @param lost - called when the store shows another leader
   */
  public constructor(
    store: MetadataStore,
    scheduler: Scheduler,
    claim: LeaderLease,
    revision: number,
    log: EventLog,
    written: () => void,
    lost: () => void,
  ) {
    this.#store = store;
    this.#scheduler = scheduler;
    this.#leaderLease = claim;
    this.#placementsRevision = revision;
    this.#log = log;
    this.#onWritten = written;
    this.#onLeaseLost = lost;
  }

  /** Starts to write if there is something to write. */
  public requestWrite(): void {
    if (this.#activeRun !== undefined || this.#isStopped || this.#isFlushing) return;
    if (!this.#scheduler.progress.hasPending) return;
    this.#activeRun = this.#writePending().finally(() => {
      this.#activeRun = undefined;
    });
  }

  /** Ends the writer after the write that is under way. */
  public stop(): void {
    this.#isStopped = true;
  }

  /** Writes what there is to write, before the claim is given back. */
  public async flush(): Promise<void> {
    // Two writes side by side could acknowledge ends that the slower one has not written yet.
    this.#isFlushing = true;
    await this.#activeRun;
    if (this.#scheduler.progress.hasPending && !this.#isStopped) await this.#writeBatch();
    this.#isStopped = true;
  }

  async #writePending(): Promise<void> {
    while (!this.#isStopped && !this.#isFlushing && this.#scheduler.progress.hasPending) {
      const isWritten = await this.#writeBatch();
      const pauseMs = isWritten ? hostLimits.minProgressIntervalMs : hostLimits.progressRetryMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  async #writeBatch(): Promise<boolean> {
    const batch = this.#scheduler.progress.takeBatch();
    for (let from = 0; from < batch.progress.length; from += maxRecordsPerWrite) {
      const records = batch.progress.slice(from, from + maxRecordsPerWrite);
      if (await this.#commit(records)) continue;
      this.#scheduler.progress.requeueBatch(batch);
      return false;
    }
    this.#scheduler.progress.confirmBatch(batch);
    for (const { id, state, finishedAtMs } of batch.progress) {
      if (finishedAtMs === undefined) continue;
      this.#log.write('jobFinished', { request: id, state, revision: this.#placementsRevision });
    }
    this.#onWritten();
    return true;
  }

  async #commit(records: ReturnType<PendingProgress['takeBatch']>['progress']): Promise<boolean> {
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#leaderLease.holderRevision },
        { key: storeKeys.placements, revision: this.#placementsRevision },
      ],
      put: [
        {
          key: storeKeys.placements,
          value: JSON.stringify(describePlacements(this.#scheduler.workers)),
        },
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
      this.#placementsRevision = outcome.value.revision;
      return true;
    }
    return this.#handleConflict(outcome.value.items);
  }

  #handleConflict(items: readonly { readonly key: string; readonly revision: number }[]): false {
    const holder = items.find(({ key }) => key === storeKeys.holder);
    if (holder?.revision !== this.#leaderLease.holderRevision) {
      this.#isStopped = true;
      this.#onLeaseLost();
      return false;
    }
    // An earlier write without an answer took effect after all.
    this.#placementsRevision = items.find(({ key }) => key === storeKeys.placements)?.revision ?? 0;
    return false;
  }
}
