import { createFailure } from '@toucanline/core';
import type { MetadataStore } from '@toucanline/jobs';
import {
  validators,
  type Failure,
  type JobRecord,
  type JobSpecification,
  type JobState,
  type QueueConfiguration,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ConfigurationWatch } from './ConfigurationWatch.js';
import type { EventLog } from './EventLog.js';
import { findQueue } from './findQueue.js';
import { hostLimits } from './hostLimits.js';
import { JobWriter } from './JobWriter.js';
import type { LeaderClient } from './LeaderClient.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { refusalMarker } from './refusalMarker.js';
import { retryAfterSeconds } from './retryAfterSeconds.js';
import type { StoreHealth } from './StoreHealth.js';
import { storeKeys } from './storeKeys.js';

/** Where a call goes and who makes it. */
interface CallTarget {
  readonly host: string;
  readonly path: string;
  /** Key of the call, if it has one. */
  readonly key: string | undefined;
}

/** An admitted call. */
interface AdmittedCall {
  readonly queue: QueueConfiguration;
  /** Name of the account; empty on a queue open to all. */
  readonly account: string;
  /** Id of the job; empty for calls on the queue itself. */
  readonly id: string;
}

const idPattern = /^[0-9a-f]{16}$/;

/** Answers callers: accepts jobs into the store, tells their state, cancels them. */
export class JobService {
  readonly #store: MetadataStore;
  readonly #storeHealth: StoreHealth;
  readonly #jobWriter: JobWriter;
  readonly #configuration: ConfigurationWatch;
  readonly #leader: LeaderClient;
  readonly #log: EventLog;
  readonly #maxConfigurationAgeMs: number;

  /**
   * @param store - the store
   * @param contact - whether the store answers
   * @param configuration - the operator's configuration
   * @param leader - view of the leader's jobs
   * @param log - log of the process
   * @param revokeMs - time within which a withdrawn key must stop working, in milliseconds
   */
  public constructor(
    store: MetadataStore,
    contact: StoreHealth,
    configuration: ConfigurationWatch,
    leader: LeaderClient,
    log: EventLog,
    revokeMs: number,
  ) {
    this.#store = store;
    this.#storeHealth = contact;
    this.#jobWriter = new JobWriter(store, leader);
    this.#configuration = configuration;
    this.#leader = leader;
    this.#log = log;
    this.#maxConfigurationAgeMs = revokeMs - hostLimits.keyRevocationMarginMs;
  }

  /**
   * Admits a call: finds its queue and checks its key.
   *
   * @param target - host, path and key
   * @returns the admitted call
   */
  public async admit(target: CallTarget): Promise<Result<AdmittedCall, Failure>> {
    const isFresh = await this.#configuration.ensureFresh(this.#maxConfigurationAgeMs);
    const configuration = this.#configuration.current;
    if (configuration === undefined) return err(this.#refuse(target.path, 'no configuration yet'));
    const match = findQueue(configuration, target.host, target.path);
    if (match === undefined && isFresh) {
      return err(createFailure('unknownQueue', `no queue at ${target.host}${target.path}`));
    }
    // A withdrawn key or a removed queue may be what this host could not learn.
    if (!isFresh) return err(this.#refuse(target.path, 'the configuration is not confirmed'));
    if (match === undefined) return err(createFailure('unknownQueue', 'no such queue'));
    const { queue, suffix: rest } = match;
    if (rest !== '' && !idPattern.test(rest)) {
      return err(createFailure('unknownQueue', `${rest} is not the id of a job`));
    }
    if (queue.isOpen) return ok({ queue, account: '', id: rest });
    const account = this.#configuration.findAccount(target.key ?? '');
    if (account === undefined) return err(createFailure('unauthenticated', 'unknown key'));
    return ok({ queue, account, id: rest });
  }

  /**
   * Accepts a job: it is stored before this returns.
   *
   * @param call - the admitted call
   * @param specification - what to run
   * @returns nothing; `storeUnavailable` if it was surely not accepted, `timeout` if that is unknown
   */
  public async submit(
    call: AdmittedCall,
    specification: JobSpecification,
  ): Promise<Result<void, Failure>> {
    const record: JobRecord = {
      id: call.id,
      queue: call.queue.name,
      account: call.account,
      specification,
      acceptedAtMs: Date.now(),
      isCancelled: false,
    };
    // Nothing is sent to a store that does not answer: then it is sure that the job was not accepted.
    if (!this.#storeHealth.isReachable) {
      return err(this.#refuse(call.id, 'the store does not answer'));
    }
    const sentAt = performance.now();
    const result = await this.#jobWriter.write(record);
    this.#log.write('jobSubmitted', {
      request: call.id,
      queue: call.queue.name,
      account: call.account,
      configurationVersion: this.#configuration.current?.version ?? 0,
      storeMs: Math.round(performance.now() - sentAt),
      outcome: result.isOk() ? 'accepted' : result.error.kind,
    });
    return result;
  }

  /**
   * Tells the state of a job.
   *
   * @param call - the admitted call
   * @returns the state; `recordMissing` if there is no such job
   */
  public async findState(call: AdmittedCall): Promise<Result<JobState, Failure>> {
    const told = await this.#leader.findState(call.id);
    if (told !== undefined && told !== 'unknown') return ok(told);
    return this.#readStoredState(call.id);
  }

  /**
   * Cancels a job.
   *
   * @param call - the admitted call
   * @returns nothing; `recordMissing` if there is no such job
   */
  public async cancel(call: AdmittedCall): Promise<Result<void, Failure>> {
    const key = storeKeys.jobPrefix + call.id;
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const item = await this.#store.read(key);
      if (item.isErr()) return err(item.error);
      if (item.value?.value === undefined || item.value.value === refusalMarker) {
        return err(this.#createMissingFailure(call.id));
      }
      const record = parseStoredRecord(validators.JobRecord, item.value.value);
      if (record === undefined) return err(createFailure('internal', `${key} cannot be read`));
      if (record.isCancelled) return ok(undefined);
      const outcome = await this.#store.commit({
        expected: [{ key, revision: item.value.revision }],
        put: [{ key, value: JSON.stringify({ ...record, isCancelled: true }) }],
      });
      // After an unknown outcome the next read tells whether the cancellation was written.
      if (outcome.isOk() && outcome.value.committed) {
        this.#log.write('jobCancelled', { request: call.id, revision: outcome.value.revision });
        return ok(undefined);
      }
    }
    return err(createFailure('timeout', 'the cancellation could not be confirmed'));
  }

  /**
   * Counts the jobs of a queue that have not begun.
   *
   * @param call - the admitted call
   * @returns their number
   */
  public async countWaiting(call: AdmittedCall): Promise<Result<number, Failure>> {
    const count = await this.#leader.countWaiting(call.queue.name);
    return count === undefined
      ? err(this.#refuse(call.queue.name, 'the leader does not answer'))
      : ok(count);
  }

  /** The leader's answer is missing or it has not seen the job yet: the store decides. */
  async #readStoredState(id: string): Promise<Result<JobState, Failure>> {
    const [progress, job] = await Promise.all([
      this.#store.read(storeKeys.progressPrefix + id),
      this.#store.read(storeKeys.jobPrefix + id),
    ]);
    if (job.isErr()) return err(createFailure('storeUnavailable', job.error.detail));
    if (job.value?.value === undefined || job.value.value === refusalMarker) {
      return err(this.#createMissingFailure(id));
    }
    if (progress.isErr()) return err(createFailure('storeUnavailable', progress.error.detail));
    const value = progress.value?.value;
    const written =
      value === undefined ? undefined : parseStoredRecord(validators.JobProgress, value);
    if (written === undefined) return ok('queued');
    return ok(written.finishedAtMs === undefined ? 'running' : written.state);
  }

  #createMissingFailure(id: string): Failure {
    return createFailure('recordMissing', `no job ${id}`);
  }

  /** Refuses a call as not run, and says what this host knew. */
  #refuse(request: string, reason: string): Failure {
    this.#log.write('callRefused', {
      request: request.slice(request.lastIndexOf('/') + 1),
      reason,
      configurationVersion: this.#configuration.current?.version ?? 0,
      configurationAgeMs: Math.round(Math.min(this.#configuration.ageMs, 1e9)),
      storeSilenceMs: Math.round(Math.min(this.#storeHealth.lastAnswerAgeMs, 1e9)),
      retryAfterSeconds,
    });
    return createFailure('notReady', reason, retryAfterSeconds);
  }
}
