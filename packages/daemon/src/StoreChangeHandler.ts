import type { Scheduler, StoreItem, Worker } from '@toucanline/jobs';
import { validators } from '@toucanline/schema';
import type { JobCleanup } from './JobCleanup.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { isMarker } from './isMarker.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { runGuarded } from './runGuarded.js';
import { storeKeys } from './storeKeys.js';

/** Applies what the leader reads from the store to the scheduler: jobs, their progress, and workers. */
export class StoreChangeHandler {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #cleanup: JobCleanup;
  readonly #onWorkerAdded: (worker: Worker) => void;
  /** Changes received without a valid leader lease: the next leader may already have acted on them. */
  #deferred: readonly (() => void)[] = [];
  /** Jobs whose stored progress says that they are finished, until the stored jobs are applied. */
  readonly #finishedIds = new Set<string>();
  #isLoaded = false;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param scheduler - receives the changes
   * @param cleanup - receives the refusal markers
   * @param onWorkerAdded - called for each worker that must be surveyed
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    scheduler: Scheduler,
    cleanup: JobCleanup,
    onWorkerAdded: (worker: Worker) => void,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = scheduler;
    this.#cleanup = cleanup;
    this.#onWorkerAdded = onWorkerAdded;
  }

  /** Marks the stored state as loaded: later items are new. */
  public markLoaded(): void {
    this.#isLoaded = true;
  }

  /** Applies the deferred changes once the leader lease is valid again. */
  public applyDeferred(): void {
    if (!this.#leaderLease.isValid || this.#deferred.length === 0) return;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const apply of deferred) apply();
  }

  /**
   * Applies the stored progress of a job.
   *
   * @param item - stored item of the progress
   * @param now - monotonic time in milliseconds
   */
  public applyProgress({ key, value }: StoreItem, now: number): void {
    if (value === undefined) return;
    const progress = parseStoredRecord(validators.JobProgress, value);
    if (progress === undefined) {
      this.#dependencies.log.writeError(key, 'the stored progress cannot be decoded');
      return;
    }
    if (progress.finishedAtMs !== undefined) this.#finishedIds.add(progress.id);
    this.#scheduler.restoreProgress(progress, now);
  }

  /**
   * Applies the stored jobs, after their progress: unfinished ones at once, in the order of their acceptance, on which
   * the rates of the accounts depend.
   *
   * @param items - all items under the prefix of the job keys
   * @returns items of finished jobs, which are applied later; until then hosts read their state from the store
   */
  public applyStoredJobs(items: readonly StoreItem[]): readonly StoreItem[] {
    const finished: StoreItem[] = [];
    const open: { readonly acceptedAtMs: number; readonly item: StoreItem }[] = [];
    for (const item of items) {
      const id = item.key.slice(storeKeys.jobPrefix.length);
      if (this.#finishedIds.has(id)) finished.push(item);
      else open.push({ acceptedAtMs: readAcceptanceTime(item), item });
    }
    this.#finishedIds.clear();
    for (const { item } of open.sort((a, b) => a.acceptedAtMs - b.acceptedAtMs)) {
      runGuarded(
        () => {
          this.applyJob(item);
        },
        (error) => {
          this.#dependencies.log.writeError(item.key, error);
        },
      );
    }
    return finished;
  }

  /**
   * Applies an item under a job key.
   *
   * @param item - job record, marker, or removal
   */
  public applyJob(item: StoreItem): void {
    const { key, value, revision } = item;
    const id = key.slice(storeKeys.jobPrefix.length);
    if (value === undefined) {
      this.#scheduler.removeJob(id);
      return;
    }
    if (isMarker(value)) {
      this.#cleanup.addMarker(key);
      return;
    }
    this.#cleanup.removeMarker(key);
    if (this.#isDeferring && this.#scheduler.findJobState(id) === undefined) {
      this.#defer(() => {
        this.applyJob(item);
      });
      return;
    }
    // Each job that a host announces follows by the watch; only a cancellation can change its record.
    const isKnown = this.#scheduler.findJobState(id) !== undefined;
    if (isKnown && !value.includes('"isCancelled":true')) return;
    const record = parseStoredRecord(validators.JobRecord, value);
    if (record === undefined) {
      this.#dependencies.log.write('jobUnreadable', { key });
      return;
    }
    const ageMs = this.#isLoaded ? 0 : Math.max(0, Date.now() - record.acceptedAtMs);
    this.#scheduler.addJob(record, revision, performance.now() - ageMs);
  }

  /**
   * Applies an item under a worker key.
   *
   * @param item - worker entry, or its removal
   */
  public applyWorker(item: StoreItem): void {
    const { decoder, log } = this.#dependencies;
    const { key, value, revision } = item;
    const id = key.slice(decoder.workerPrefix.length);
    if (value === undefined) {
      log.write('workerUnlisted', { worker: id });
      this.#scheduler.unlistWorker(id);
      return;
    }
    const entry = decoder.decodeWorker(key, value);
    if (entry === undefined) {
      log.write('workerEntryUnreadable', { key });
      this.#scheduler.unlistWorker(id);
      return;
    }
    if (this.#isDeferring && !this.#hasIncarnation(id, entry.life)) {
      this.#defer(() => {
        this.applyWorker(item);
      });
      return;
    }
    const worker = this.#scheduler.updateWorker(entry, false, undefined, revision);
    if (worker === undefined) return;
    log.write('workerListed', { worker: id, life: entry.life, service: entry.service });
    this.#onWorkerAdded(worker);
  }

  /**
   * Marks workers without an entry as no longer listed.
   *
   * @param items - all worker entries
   */
  public unlistAbsentWorkers(items: readonly StoreItem[]): void {
    const { workerPrefix } = this.#dependencies.decoder;
    const listed = new Set(items.map(({ key }) => key.slice(workerPrefix.length)));
    for (const { id } of this.#scheduler.workers) {
      if (!listed.has(id)) this.#scheduler.unlistWorker(id);
    }
  }

  /**
   * Whether new jobs and workers are deferred: without a valid lease, the next leader may already have started the job,
   * or tasks on the worker.
   */
  get #isDeferring(): boolean {
    return this.#isLoaded && !this.#leaderLease.isValid;
  }

  #defer(apply: () => void): void {
    this.#deferred = [...this.#deferred, apply];
  }

  #hasIncarnation(id: string, life: number): boolean {
    return this.#scheduler.workers.some((worker) => worker.id === id && worker.life === life);
  }
}

/** Reads when a job was accepted, without validating its record; 0 for a marker or an unreadable record. */
const readAcceptanceTime = ({ value }: StoreItem): number =>
  Number(/"acceptedAtMs":(\d+)/.exec(value ?? '')?.[1] ?? 0);
