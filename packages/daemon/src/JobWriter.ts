import { createFailure } from '@toucanline/core';
import type { MetadataStore } from '@toucanline/jobs';
import { validators, type Failure, type JobRecord } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { hostLimits } from './hostLimits.js';
import type { LeaderClient } from './LeaderClient.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { refusalMarker } from './refusalMarker.js';
import { retryAfterSeconds } from './retryAfterSeconds.js';
import { storeKeys } from './storeKeys.js';

/** Waits for a call, but not longer than the caller of this host can. */
const waitWithTimeout = <Value>(call: Promise<Value>, ms: number): Promise<Value | undefined> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      resolve(undefined);
    }, ms);
    call.then(resolve, reject).finally(() => {
      clearTimeout(timer);
    });
  });

/** Writes accepted jobs into the store, and finds out what became of a write without an answer. */
export class JobWriter {
  readonly #store: MetadataStore;
  readonly #leader: LeaderClient;

  /**
   * @param store - the store
   * @param leader - is told of accepted jobs
   */
  public constructor(store: MetadataStore, leader: LeaderClient) {
    this.#store = store;
    this.#leader = leader;
  }

  /**
   * Writes a job; a repeat of the same one is the same job.
   *
   * @param record - the job
   * @returns nothing; `storeUnavailable` if it was surely not accepted, `timeout` if that is unknown,
   * `conflictingKey` if its id is that of another job
   */
  public write(record: JobRecord): Promise<Result<void, Failure>> {
    return this.#write(record, 0);
  }

  /** Writes the record if its key still has a revision; a refusal left by an earlier try is replaced. */
  async #write(record: JobRecord, revision: number): Promise<Result<void, Failure>> {
    const key = storeKeys.jobPrefix + record.id;
    const value = JSON.stringify(record);
    const outcome = await this.#store.commit({
      expected: [{ key, revision }],
      put: [{ key, value }],
    });
    if (outcome.isErr()) return this.#resolveFailedWrite(key, record, outcome.error);
    if (outcome.value.committed) {
      this.#leader.announceJob(key, value, outcome.value.revision);
      return ok(undefined);
    }
    const [known] = outcome.value.items;
    if (known?.value === refusalMarker && known.revision !== revision) {
      return this.#write(record, known.revision);
    }
    return this.#compareWithStored(known?.value, record);
  }

  async #resolveFailedWrite(
    key: string,
    record: JobRecord,
    failure: Failure,
  ): Promise<Result<void, Failure>> {
    if (failure.kind === 'storeUnavailable') {
      return err(createFailure('storeUnavailable', failure.detail, retryAfterSeconds));
    }
    const startedAt = performance.now();
    for (;;) {
      const leftMs = startedAt + hostLimits.unknownOutcomeTimeoutMs - performance.now();
      const item = leftMs > 0 ? await waitWithTimeout(this.#store.read(key), leftMs) : undefined;
      if (item === undefined) break;
      if (item.isOk()) return this.#resolveByStoredValue(item.value?.value, record, failure);
      await new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
    }
    // The write may still take effect, so the caller must not be told that the job never runs.
    return err(createFailure('timeout', failure.detail));
  }

  async #resolveByStoredValue(
    value: string | undefined,
    record: JobRecord,
    failure: Failure,
  ): Promise<Result<void, Failure>> {
    if (value !== undefined) return this.#compareWithStored(value, record);
    return (await this.#blockLateWrite(storeKeys.jobPrefix + record.id))
      ? err(createFailure('storeUnavailable', failure.detail, retryAfterSeconds))
      : err(createFailure('timeout', failure.detail));
  }

  /** Makes a write fail that may still take effect: its condition was that the key does not exist. */
  async #blockLateWrite(key: string): Promise<boolean> {
    const outcome = await this.#store.commit({
      expected: [{ key, revision: 0 }],
      put: [{ key, value: refusalMarker }],
    });
    return outcome.isOk() && outcome.value.committed;
  }

  #compareWithStored(value: string | undefined, record: JobRecord): Result<void, Failure> {
    const known = value === undefined ? undefined : parseStoredRecord(validators.JobRecord, value);
    if (known === undefined) return err(createFailure('timeout', 'the stored job is unreadable'));
    const isSame =
      known.account === record.account &&
      JSON.stringify(known.specification) === JSON.stringify(record.specification);
    return isSame
      ? ok(undefined)
      : err(createFailure('conflictingKey', `${record.id} is the id of another job`));
  }
}
