import { createFailure } from '@toucanline/core';
import type { ForecastAdmission, ForecastRefusal, MetadataStore } from '@toucanline/jobs';
import {
  validators,
  type Failure,
  type JobRecord,
  type JobSpecification,
  type JobState,
  type JobTerms,
  type QueueConfiguration,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { cancellationMarker } from './cancellationMarker.js';
import type { ConfigurationWatch } from './ConfigurationWatch.js';
import { createJobTerms } from './createJobTerms.js';
import type { EventLog } from './EventLog.js';
import type { HostMetrics } from './HostMetrics.js';
import { findQueue } from './findQueue.js';
import { isMarker } from './isMarker.js';
import { JobWriter } from './JobWriter.js';
import type { LeaderClient } from './LeaderClient.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { RecentSubmissions } from './RecentSubmissions.js';
import { refusalMarker } from './refusalMarker.js';
import { hostLimits } from './hostLimits.js';
import { retryAfterSeconds } from './retryAfterSeconds.js';
import type { StoreHealth } from './StoreHealth.js';
import { storeKeys } from './storeKeys.js';
import { waitWithTimeout } from './waitWithTimeout.js';

/** Target and key of a call, as the front end has read them. */
interface CallTarget {
  /** Host name without a port. */
  readonly host: string;
  readonly path: string;
  /** API key of the caller; undefined if the call has none. */
  readonly key: string | undefined;
}

/** Call whose queue was found and whose key was checked. */
interface AdmittedCall {
  readonly queue: QueueConfiguration;
  /** Name of the client account; empty on a queue that is open to all. */
  readonly account: string;
  /** Job id in lowercase; empty for calls to the queue itself. */
  readonly id: string;
  /** Settings of the queue and the account, under which a submitted job is accepted. */
  readonly terms: JobTerms;
}

const idPattern = /^[0-9a-f]{16}$/i;

/** Handles the calls of callers: stores accepted jobs, reports their state and cancels them. */
export class JobService {
  readonly #store: MetadataStore;
  readonly #storeHealth: StoreHealth;
  readonly #jobWriter: JobWriter;
  readonly #configuration: ConfigurationWatch;
  readonly #leader: LeaderClient;
  readonly #log: EventLog;
  readonly #maxConfigurationAgeMs: number;
  readonly #submissions = new RecentSubmissions();
  readonly #admission: ForecastAdmission | undefined;
  readonly #metrics: HostMetrics;
  /** Ids of the jobs that are being written. */
  readonly #writing = new Set<string>();
  /** Monotonic time of the last submission whose outcome is unknown, in milliseconds. */
  #unknownOutcomeAt = -Infinity;

  /**
   * @param store - metadata store
   * @param storeHealth - tells whether the store is reachable
   * @param configuration - watch of the operator's configuration
   * @param leader - client of the leader
   * @param log - event log of this process
   * @param maxConfigurationAgeMs - age of the confirmation of a configuration from which it is read again, in
   * milliseconds
   * @param admission - refuses submissions by the forecast; undefined to refuse none
   * @param metrics - metrics of this process
   */
  public constructor(
    store: MetadataStore,
    storeHealth: StoreHealth,
    configuration: ConfigurationWatch,
    leader: LeaderClient,
    log: EventLog,
    maxConfigurationAgeMs: number,
    admission: ForecastAdmission | undefined,
    metrics: HostMetrics,
  ) {
    this.#admission = admission;
    this.#metrics = metrics;
    this.#store = store;
    this.#storeHealth = storeHealth;
    this.#jobWriter = new JobWriter(store, leader);
    this.#configuration = configuration;
    this.#leader = leader;
    this.#log = log;
    this.#maxConfigurationAgeMs = maxConfigurationAgeMs;
  }

  /**
   * Finds the queue of a call and checks its key.
   *
   * @param target - host name, path and key
   * @returns the admitted call; `unknownQueue` if the path leads to no queue or job id, `unauthenticated` if the key is
   * unknown, `notReady` if there is no configuration or it could not be confirmed, `timeout` instead if
   * an earlier attempt of the submission is unresolved
   */
  public async admit(target: CallTarget): Promise<Result<AdmittedCall, Failure>> {
    const isFresh = await this.#configuration.ensureFresh(this.#maxConfigurationAgeMs);
    const configuration = this.#configuration.current;
    if (configuration === undefined) return err(this.#refuse(target.path, 'no configuration yet'));
    const match = findQueue(configuration, target.host, target.path);
    if (match === undefined && isFresh) {
      return err(createFailure('unknownQueue', `no queue at ${target.host}${target.path}`));
    }
    // Without a confirmation, this host may have missed that a key was withdrawn or a queue was removed.
    if (!isFresh) return err(this.#refuse(target.path, 'the configuration is not confirmed'));
    if (match === undefined) return err(createFailure('unknownQueue', 'no such queue'));
    const { queue, suffix } = match;
    if (suffix !== '' && !idPattern.test(suffix)) {
      return err(createFailure('unknownQueue', `${suffix} is not the id of a job`));
    }
    const id = suffix.toLowerCase();
    if (queue.isOpen)
      return ok({ queue, account: '', id, terms: createJobTerms(queue, undefined) });
    const account = this.#configuration.findAccount(target.key ?? '');
    if (account === undefined) return err(createFailure('unauthenticated', 'unknown key'));
    const settings = configuration.accounts.find(({ name }) => name === account);
    return ok({ queue, account, id, terms: createJobTerms(queue, settings) });
  }

  /**
   * Accepts a job. It is stored before the call returns.
   *
   * @param call - admitted call
   * @param specification - steps and payload of the job
   * @returns nothing; `notReady`, `overloaded` or `storeUnavailable` if the job was not accepted, `timeout` if that is
   * unknown, `cancelled` if the job was cancelled before, `conflictingKey` if the id belongs to another job
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
      terms: call.terms,
    };
    const isRepeated = this.#submissions.find(call.id) === 'unknown';
    // Without a write to a store that does not answer, it is certain that this attempt was not accepted.
    if (!this.#storeHealth.isReachable) {
      if (await this.#isAccepted(call.id)) return ok(undefined);
      return err(this.#refuse(call.id, 'the store does not answer'));
    }
    const refusal = await this.#checkForecast(call, specification);
    if (refusal !== undefined) return err(refusal);
    const sentAt = performance.now();
    this.#writing.add(call.id);
    const written = await this.#jobWriter.write(record, isRepeated).finally(() => {
      this.#writing.delete(call.id);
    });
    const isStoredBefore =
      written.isErr() &&
      written.error.kind === 'storeUnavailable' &&
      (await this.#isAccepted(call.id));
    const result = isStoredBefore ? ok(undefined) : written;
    if (result.isOk()) this.#submissions.record(call.id, 'accepted');
    else this.#submissions.record(call.id, result.error.kind === 'timeout' ? 'unknown' : undefined);
    if (result.isErr() && result.error.kind === 'timeout')
      this.#unknownOutcomeAt = performance.now();
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
   * Finds the state of a job, from the leader or else from the store.
   *
   * @param call - admitted call
   * @returns the state; `recordMissing` if there is no such job, `storeUnavailable` if the store did not answer
   */
  public async findState(call: AdmittedCall): Promise<Result<JobState, Failure>> {
    const state = await this.#leader.findState(call.id);
    if (state !== undefined && state !== 'unknown') return ok(state);
    return this.#readStoredState(call.id);
  }

  /**
   * Cancels a job, by marking its stored record. If there is none, a marker takes its place: a write of the job may still
   * be pending at another host, or its submission may be repeated.
   *
   * @param call - admitted call
   * @returns nothing; `recordMissing` if there is no such job and none can be stored any more, `timeout` if it is unknown
   * whether the job was cancelled
   */
  public async cancel(call: AdmittedCall): Promise<Result<void, Failure>> {
    const key = storeKeys.jobPrefix + call.id;
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const item = await this.#store.read(key);
      if (item.isErr()) return err(item.error);
      const { value, revision = 0 } = item.value ?? {};
      if (value === cancellationMarker) return err(this.#createMissingFailure(call.id));
      if (value === undefined || value === refusalMarker) {
        if (!(await this.#markCancelled(call.id, revision))) continue;
        return err(this.#createMissingFailure(call.id));
      }
      const record = parseStoredRecord(validators.JobRecord, value);
      if (record === undefined)
        return err(createFailure('internal', `the record at ${key} is invalid`));
      if (record.isCancelled) return ok(undefined);
      const outcome = await this.#store.commit({
        expected: [{ key, revision }],
        put: [{ key, value: JSON.stringify({ ...record, isCancelled: true }) }],
      });
      // If the outcome is unknown, the next read shows whether the cancellation was written.
      if (outcome.isOk() && outcome.value.committed) {
        this.#log.write('jobCancelled', { request: call.id, revision: outcome.value.revision });
        return ok(undefined);
      }
    }
    return err(createFailure('timeout', 'the cancellation could not be confirmed'));
  }

  /**
   * Counts the jobs of a queue that have not started.
   *
   * @param call - admitted call
   * @returns the number of jobs; `notReady` if the leader did not answer
   */
  public async countWaiting(call: AdmittedCall): Promise<Result<number, Failure>> {
    const count = await this.#leader.countWaiting(call.queue.name);
    return count === undefined
      ? err(this.#refuse(call.queue.name, 'the leader does not answer'))
      : ok(count);
  }

  /** Checks a submission by the forecast; returns undefined if it is accepted or repeats that of a stored job. */
  async #checkForecast(
    call: AdmittedCall,
    specification: JobSpecification,
  ): Promise<Failure | undefined> {
    const { queue } = call;
    const now = performance.now();
    const account = this.#configuration.current?.accounts.find(({ name }) => name === call.account);
    const refusal = this.#admission?.check({ queue, account, specification }, now);
    if (refusal === undefined) return undefined;
    // A refusal says that the job never runs, so no earlier attempt may take effect later.
    if (this.#writing.has(call.id)) return undefined;
    if (now - this.#unknownOutcomeAt < hostLimits.unknownOutcomeMemoryMs) return undefined;
    const stored = await this.#store.read(storeKeys.jobPrefix + call.id);
    if (stored.isErr()) return undefined;
    const value = stored.value?.value;
    if (value !== undefined && value !== refusalMarker) return undefined;
    return this.#refuseByForecast(call, refusal);
  }

  #refuseByForecast(call: AdmittedCall, refusal: ForecastRefusal): Failure {
    const { isEntitled, delayMs, completionMs, usefulMs } = refusal;
    this.#metrics.countForecastRefusal(isEntitled);
    this.#log.write('submissionRefused', {
      request: call.id,
      queue: call.queue.name,
      account: call.account,
      entitled: isEntitled ? 'yes' : 'no',
      delayMs: Math.round(delayMs),
      completionMs: Math.round(completionMs),
      usefulMs: Math.round(usefulMs),
      retryAfterSeconds: refusal.retryAfterSeconds,
    });
    const seconds = (completionMs / 1000).toFixed(1);
    const detail = `the job would be done in ${seconds} s, too late for its objective`;
    return createFailure('overloaded', detail, refusal.retryAfterSeconds);
  }

  /** Writes a cancellation marker if the key of the job is still at the given revision. */
  async #markCancelled(id: string, revision: number): Promise<boolean> {
    const key = storeKeys.jobPrefix + id;
    const outcome = await this.#store.commit({
      expected: [{ key, revision }],
      put: [{ key, value: cancellationMarker }],
    });
    if (outcome.isErr() || !outcome.value.committed) return false;
    this.#log.write('unknownJobCancelled', { request: id, revision: outcome.value.revision });
    return true;
  }

  /** Reads the state of a job from the store, for when the leader did not answer or does not know the job yet. */
  async #readStoredState(id: string): Promise<Result<JobState, Failure>> {
    const [progress, job] = await Promise.all([
      this.#store.read(storeKeys.progressPrefix + id),
      this.#store.read(storeKeys.jobPrefix + id),
    ]);
    if (job.isErr()) return err(createFailure('storeUnavailable', job.error.detail));
    if (job.value?.value === undefined || isMarker(job.value.value)) {
      return err(this.#createMissingFailure(id));
    }
    if (progress.isErr()) return err(createFailure('storeUnavailable', progress.error.detail));
    const value = progress.value?.value;
    const storedProgress =
      value === undefined ? undefined : parseStoredRecord(validators.JobProgress, value);
    if (storedProgress === undefined) return ok('queued');
    return ok(storedProgress.finishedAtMs === undefined ? 'running' : storedProgress.state);
  }

  #createMissingFailure(id: string): Failure {
    return createFailure('recordMissing', `no job ${id}`);
  }

  /**
   * Checks without the store whether a job is known to be stored: accepted by this host, or known to the leader. A
   * submission that is repeated after its first answer was lost must not be reported as not run.
   */
  async #isAccepted(id: string): Promise<boolean> {
    if (this.#submissions.find(id) === 'accepted') return true;
    const query = this.#leader.findState(id);
    const state = await waitWithTimeout(query, hostLimits.repeatCheckTimeoutMs);
    return state !== undefined && state !== 'unknown';
  }

  /**
   * Creates the failure of a call that was not carried out, and logs the age of what this host knew. A submission gets
   * `timeout` if the outcome of an earlier attempt at this host is unknown.
   */
  #refuse(path: string, reason: string): Failure {
    const request = path.slice(path.lastIndexOf('/') + 1).toLowerCase();
    this.#log.write('callRefused', {
      request,
      reason,
      configurationVersion: this.#configuration.current?.version ?? 0,
      configurationAgeMs: Math.round(Math.min(this.#configuration.ageMs, 1e9)),
      storeSilenceMs: Math.round(Math.min(this.#storeHealth.lastAnswerAgeMs, 1e9)),
      retryAfterSeconds,
    });
    const kind = this.#submissions.find(request) === 'unknown' ? 'timeout' : 'notReady';
    return createFailure(kind, reason, retryAfterSeconds);
  }
}
