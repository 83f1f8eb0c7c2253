import type { Scheduler, StoreItem, Worker } from '@toucanline/jobs';
import { validators } from '@toucanline/schema';
import type { JobCleanup } from './JobCleanup.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { refusalMarker } from './refusalMarker.js';
import { storeKeys } from './storeKeys.js';

/** Takes what the leader reads from the store: jobs, their progress, and workers. */
export class StoreChangeHandler {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #cleanup: JobCleanup;
  readonly #onWorkerAdded: (worker: Worker) => void;
  /** Changes that were learned without a current claim: a successor may already have acted on them. */
  #deferred: readonly (() => void)[] = [];
  #isLoaded = false;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - takes the changes
   * @param expired - takes marks of refused submissions
   * @param drive - called for each worker that must be surveyed
   */
  public constructor(
    parts: LeaderDependencies,
    claim: LeaderLease,
    scheduler: Scheduler,
    expired: JobCleanup,
    drive: (worker: Worker) => void,
  ) {
    this.#dependencies = parts;
    this.#leaderLease = claim;
    this.#scheduler = scheduler;
    this.#cleanup = expired;
    this.#onWorkerAdded = drive;
  }

  /** Notes that all that was stored was taken: what comes from now on is new. */
  public markLoaded(): void {
    this.#isLoaded = true;
  }

  /** Takes the changes that came while the claim was not current, once it is again. */
  public applyDeferred(): void {
    if (!this.#leaderLease.isValid || this.#deferred.length === 0) return;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const take of deferred) take();
  }

  /**
   * Takes the progress of a job.
   *
   * @param item - the stored progress
   * @param now - monotonic time
   */
  public applyProgress({ value }: StoreItem, now: number): void {
    const progress =
      value === undefined ? undefined : parseStoredRecord(validators.JobProgress, value);
    if (progress !== undefined) this.#scheduler.restoreProgress(progress, now);
  }

  /** @param item - a job, a mark in its place, or its removal */
  public applyJob(item: StoreItem): void {
    const { key, value, revision } = item;
    const id = key.slice(storeKeys.jobPrefix.length);
    if (value === undefined) {
      this.#scheduler.removeJob(id);
      return;
    }
    if (value === refusalMarker) {
      this.#cleanup.addRefusalMarker(key);
      return;
    }
    this.#cleanup.removeRefusalMarker(key);
    if (this.#isDeferring && this.#scheduler.findJobState(id) === undefined) {
      this.#defer(() => {
        this.applyJob(item);
      });
      return;
    }
    const record = parseStoredRecord(validators.JobRecord, value);
    if (record === undefined) {
      this.#dependencies.log.write('jobUnreadable', { key });
      return;
    }
    const ageMs = this.#isLoaded ? 0 : Math.max(0, Date.now() - record.acceptedAtMs);
    this.#scheduler.addJob(record, revision, performance.now() - ageMs);
  }

  /** @param item - entry of a worker, or its removal */
  public applyWorker(item: StoreItem): void {
    const { decoder: operator, log } = this.#dependencies;
    const { key, value } = item;
    const id = key.slice(operator.workerPrefix.length);
    if (value === undefined) {
      log.write('workerUnlisted', { worker: id });
      this.#scheduler.unlistWorker(id);
      return;
    }
    const entry = operator.decodeWorker(key, value);
    if (entry === undefined) {
      log.write('workerEntryUnreadable', { key });
      return;
    }
    if (this.#isDeferring && !this.#hasIncarnation(id, entry.life)) {
      this.#defer(() => {
        this.applyWorker(item);
      });
      return;
    }
    const worker = this.#scheduler.updateWorker(entry, false);
    if (worker === undefined) return;
    log.write('workerListed', { worker: id, life: entry.life, service: entry.service });
    this.#onWorkerAdded(worker);
  }

  /** @param items - all entries of workers; others are no longer listed */
  public unlistAbsentWorkers(items: readonly StoreItem[]): void {
    const { workerPrefix } = this.#dependencies.decoder;
    const listed = new Set(items.map(({ key }) => key.slice(workerPrefix.length)));
    for (const { id } of this.#scheduler.workers) {
      if (!listed.has(id)) this.#scheduler.unlistWorker(id);
    }
  }

  /** Without a current claim, a successor may already have started a new job, or tasks on a new worker. */
  get #isDeferring(): boolean {
    return this.#isLoaded && !this.#leaderLease.isValid;
  }

  #defer(take: () => void): void {
    this.#deferred = [...this.#deferred, take];
  }

  #hasIncarnation(id: string, life: number): boolean {
    return this.#scheduler.workers.some((worker) => worker.id === id && worker.life === life);
  }
}
