import type { MetadataStore, Scheduler } from '@toucanline/jobs';
import { validators } from '@toucanline/schema';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { storeKeys } from './storeKeys.js';

/**
 * Keeps the learned durations in the store, for the next leader. Scheduling waits for neither the read nor the writes.
 * Nothing is written before the stored record was read, so a leader that could not read it does not replace it.
 */
export class DurationStore {
  readonly #store: MetadataStore;
  readonly #scheduler: Scheduler;
  readonly #leaderLease: LeaderLease;
  readonly #log: EventLog;
  /** Last value that was read or written; undefined if none is known to be stored. */
  #storedValue: string | undefined;
  #isLoaded = false;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;
  #activeWrite: Promise<void> | undefined;

  /**
   * @param store - metadata store
   * @param scheduler - owns the learned durations
   * @param leaderLease - leader lease of this term
   * @param log - event log of this process
   */
  public constructor(
    store: MetadataStore,
    scheduler: Scheduler,
    leaderLease: LeaderLease,
    log: EventLog,
  ) {
    this.#store = store;
    this.#scheduler = scheduler;
    this.#leaderLease = leaderLease;
    this.#log = log;
  }

  /** Restores the stored durations, with retries, and then writes them at intervals. */
  public async start(): Promise<void> {
    while (!this.#isStopped && !(await this.#load()))
      await new Promise((resolve) => setTimeout(resolve, hostLimits.durationsRetryMs));
    if (this.#isStopped) return;
    this.#isLoaded = true;
    this.#timer = setInterval(() => {
      void this.#writeOnce();
    }, hostLimits.durationsIntervalMs);
  }

  /** Reads and writes nothing any more. */
  public stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
  }

  /** Writes the durations a last time, before the leader lease is given up. A failed write is not repeated. */
  public async flush(): Promise<void> {
    await this.#activeWrite;
    await this.#writeOnce();
    this.stop();
  }

  async #load(): Promise<boolean> {
    const item = await this.#store.read(storeKeys.durations);
    if (item.isErr()) return false;
    // The leader may have been deposed while it waited for the store.
    if (this.#isStopped) return true;
    const value = item.value?.value;
    if (value === undefined) return true;
    this.#storedValue = value;
    const record = parseStoredRecord(validators.DurationRecord, value);
    if (record === undefined) {
      this.#log.write('durationsUnreadable', { bytes: Buffer.byteLength(value) });
      return true;
    }
    this.#scheduler.durations.restore(record, performance.now());
    this.#log.write('durationsRestored', { kinds: record.kinds.length });
    return true;
  }

  #writeOnce(): Promise<void> {
    this.#activeWrite ??= this.#write().finally(() => {
      this.#activeWrite = undefined;
    });
    return this.#activeWrite;
  }

  async #write(): Promise<void> {
    if (!this.#isLoaded || this.#isStopped) return;
    const record = this.#scheduler.durations.describe(hostLimits.maxDurationsBytes);
    if (record === undefined || record.kinds.length === 0) return;
    const value = JSON.stringify(record);
    if (value === this.#storedValue) return;
    const outcome = await this.#store.commit({
      expected: [{ key: storeKeys.holder, revision: this.#leaderLease.holderRevision }],
      put: [{ key: storeKeys.durations, value }],
    });
    const isWritten = outcome.isOk() && outcome.value.committed;
    if (isWritten) this.#storedValue = value;
    else {
      const reason = outcome.isErr() ? outcome.error.kind : 'notOwner';
      this.#log.write('durationsNotWritten', { bytes: Buffer.byteLength(value), reason });
    }
  }
}
