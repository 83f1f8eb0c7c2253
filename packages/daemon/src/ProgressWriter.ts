import {
  describePlacements,
  type MetadataStore,
  type PendingProgress,
  type Scheduler,
} from '@toucanline/jobs';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';
import type { LeaderClaim } from './LeaderClaim.js';
import { storeKeys } from './storeKeys.js';

/** Records in one transaction: the store takes 32 entries, three of which order the leader's writes. */
const recordsPerWrite = 28;

/**
 * Writes the ends of tasks before the workers may forget them. Each write replaces `placements`, on whose revision
 * the next one depends: a write that takes effect late cannot overwrite newer progress.
 */
export class ProgressWriter {
  readonly #store: MetadataStore;
  readonly #scheduler: Scheduler;
  readonly #claim: LeaderClaim;
  readonly #log: DecisionLog;
  readonly #written: () => void;
  readonly #lost: () => void;
  #revision: number;
  #running: Promise<void> | undefined;
  #isFlushing = false;
  #stopped = false;

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
    claim: LeaderClaim,
    revision: number,
    log: DecisionLog,
    written: () => void,
    lost: () => void,
  ) {
    this.#store = store;
    this.#scheduler = scheduler;
    this.#claim = claim;
    this.#revision = revision;
    this.#log = log;
    this.#written = written;
    this.#lost = lost;
  }

  /** Starts to write if there is something to write. */
  public poke(): void {
    if (this.#running !== undefined || this.#stopped || this.#isFlushing) return;
    if (!this.#scheduler.progress.hasPending) return;
    this.#running = this.#run().finally(() => {
      this.#running = undefined;
    });
  }

  /** Ends the writer after the write that is under way. */
  public stop(): void {
    this.#stopped = true;
  }

  /** Writes what there is to write, before the claim is given back. */
  public async flush(): Promise<void> {
    // Two writes side by side could acknowledge ends that the slower one has not written yet.
    this.#isFlushing = true;
    await this.#running;
    if (this.#scheduler.progress.hasPending && !this.#stopped) await this.#write();
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#stopped && !this.#isFlushing && this.#scheduler.progress.hasPending) {
      const isWritten = await this.#write();
      const pauseMs = isWritten ? hostTimes.progressIntervalMs : hostTimes.progressRetryMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  async #write(): Promise<boolean> {
    const batch = this.#scheduler.progress.takeBatch();
    for (let from = 0; from < batch.progress.length; from += recordsPerWrite) {
      const records = batch.progress.slice(from, from + recordsPerWrite);
      if (await this.#commit(records)) continue;
      this.#scheduler.progress.requeueBatch(batch);
      return false;
    }
    this.#scheduler.progress.confirmBatch(batch);
    for (const { id, state, finishedAtMs } of batch.progress) {
      if (finishedAtMs === undefined) continue;
      this.#log.write('jobFinished', { request: id, state, revision: this.#revision });
    }
    this.#written();
    return true;
  }

  async #commit(records: ReturnType<PendingProgress['takeBatch']>['progress']): Promise<boolean> {
    const outcome = await this.#store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#claim.revision },
        { key: storeKeys.placements, revision: this.#revision },
      ],
      put: [
        {
          key: storeKeys.placements,
          value: JSON.stringify(describePlacements(this.#scheduler.workers)),
        },
        ...records.map((record) => ({
          key: storeKeys.progress + record.id,
          value: JSON.stringify(record),
        })),
      ],
    });
    if (outcome.isErr()) {
      this.#log.write('progressNotWritten', { jobs: records.length, reason: outcome.error.kind });
      return false;
    }
    if (outcome.value.committed) {
      this.#revision = outcome.value.revision;
      return true;
    }
    return this.#takeConflict(outcome.value.items);
  }

  #takeConflict(items: readonly { readonly key: string; readonly revision: number }[]): false {
    const holder = items.find(({ key }) => key === storeKeys.holder);
    if (holder?.revision !== this.#claim.revision) {
      this.#stopped = true;
      this.#lost();
      return false;
    }
    // An earlier write without an answer took effect after all.
    this.#revision = items.find(({ key }) => key === storeKeys.placements)?.revision ?? 0;
    return false;
  }
}
