import { createFailure } from '@toucanline/core';
import type { MetadataStore, StoreItem } from '@toucanline/jobs';
import { validators, type Failure, type JobRecord } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { cancellationMarker } from './cancellationMarker.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderClient } from './LeaderClient.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { refusalMarker } from './refusalMarker.js';
import { retryAfterSeconds } from './retryAfterSeconds.js';
import { storeKeys } from './storeKeys.js';
import { waitWithTimeout } from './waitWithTimeout.js';

/** Writes accepted jobs to the store, and resolves the outcome of writes that had no answer. */
export class JobWriter {
  readonly #store: MetadataStore;
  readonly #leader: LeaderClient;

  /**
   * @param store - metadata store
   * @param leader - client that notifies the leader of accepted jobs
   */
  public constructor(store: MetadataStore, leader: LeaderClient) {
    this.#store = store;
    this.#leader = leader;
  }

  /**
   * Writes a job. Writing the same job again is idempotent.
   *
   * @param record - job record
   * @param isRepeated - whether the outcome of an earlier attempt is unknown, which may be stored or pending
   * @returns nothing; `storeUnavailable` if neither this nor a known earlier attempt was or will be stored, `timeout` if
   * that is unknown, `cancelled` if the job was cancelled before it was stored, `conflictingKey` if the id belongs to
   * another job
   */
  public write(record: JobRecord, isRepeated: boolean): Promise<Result<void, Failure>> {
    return this.#write(record, 0, isRepeated);
  }

  /** Writes the record if its key is still at the given revision; replaces the refusal marker of an earlier attempt. */
  async #write(
    record: JobRecord,
    revision: number,
    isRepeated: boolean,
  ): Promise<Result<void, Failure>> {
    const key = storeKeys.jobPrefix + record.id;
    const value = JSON.stringify(record);
    const outcome = await this.#store.commit({
      expected: [{ key, revision }],
      put: [{ key, value }],
    });
    if (outcome.isErr()) {
      if (outcome.error.kind === 'storeUnavailable' && !isRepeated)
        return err(createFailure('storeUnavailable', outcome.error.detail, retryAfterSeconds));
      return this.#resolveFailedWrite(key, record, outcome.error);
    }
    if (outcome.value.committed) {
      this.#leader.announceJob(key, value, outcome.value.revision);
      return ok(undefined);
    }
    const [stored] = outcome.value.items;
    if (stored?.value === refusalMarker && stored.revision !== revision) {
      return this.#write(record, stored.revision, isRepeated);
    }
    return this.#compareWithStored(stored?.value, record);
  }

  async #resolveFailedWrite(
    key: string,
    record: JobRecord,
    failure: Failure,
  ): Promise<Result<void, Failure>> {
    const startedAt = performance.now();
    for (;;) {
      const leftMs = startedAt + hostLimits.unknownOutcomeTimeoutMs - performance.now();
      const item = leftMs > 0 ? await waitWithTimeout(this.#store.read(key), leftMs) : undefined;
      if (item === undefined) break;
      if (item.isOk()) return this.#resolveByStoredItem(item.value, record, failure);
      await new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
    }
    // The write may still take effect, so the failure must not say that the job never runs.
    return err(createFailure('timeout', failure.detail, retryAfterSeconds));
  }

  async #resolveByStoredItem(
    item: StoreItem | undefined,
    record: JobRecord,
    failure: Failure,
  ): Promise<Result<void, Failure>> {
    const { value, revision = 0 } = item ?? {};
    if (value !== undefined && value !== refusalMarker)
      return this.#compareWithStored(value, record);
    return (await this.#blockLateWrite(storeKeys.jobPrefix + record.id, revision))
      ? err(createFailure('storeUnavailable', failure.detail, retryAfterSeconds))
      : err(createFailure('timeout', failure.detail, retryAfterSeconds));
  }

  /** Blocks pending writes, which depend on the revision of the key, by writing a refusal marker to it. */
  async #blockLateWrite(key: string, revision: number): Promise<boolean> {
    const outcome = await this.#store.commit({
      expected: [{ key, revision }],
      put: [{ key, value: refusalMarker }],
    });
    return outcome.isOk() && outcome.value.committed;
  }

  #compareWithStored(value: string | undefined, record: JobRecord): Result<void, Failure> {
    if (value === cancellationMarker) {
      return err(createFailure('cancelled', `the job ${record.id} was cancelled`));
    }
    const stored = value === undefined ? undefined : parseStoredRecord(validators.JobRecord, value);
    if (stored === undefined)
      return err(createFailure('timeout', 'the stored job record is invalid'));
    const isSame =
      stored.account === record.account &&
      JSON.stringify(stored.specification) === JSON.stringify(record.specification);
    return isSame
      ? ok(undefined)
      : err(createFailure('conflictingKey', `id ${record.id} belongs to another job`));
  }
}
