import type { Scheduler, StoreItem, Worker } from '@toucanline/jobs';
import { validators } from '@toucanline/schema';
import type { ExpiredJobs } from './ExpiredJobs.js';
import type { LeaderClaim } from './LeaderClaim.js';
import type { LeadershipParts } from './LeadershipParts.js';
import { parseStored } from './parseStored.js';
import { refusalMark } from './refusalMark.js';
import { storeKeys } from './storeKeys.js';

/** Takes what the leader reads from the store: jobs, their progress, and workers. */
export class ChangeIntake {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #expired: ExpiredJobs;
  readonly #drive: (worker: Worker) => void;
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
    parts: LeadershipParts,
    claim: LeaderClaim,
    scheduler: Scheduler,
    expired: ExpiredJobs,
    drive: (worker: Worker) => void,
  ) {
    this.#parts = parts;
    this.#claim = claim;
    this.#scheduler = scheduler;
    this.#expired = expired;
    this.#drive = drive;
  }

  /** Notes that all that was stored was taken: what comes from now on is new. */
  public finishLoading(): void {
    this.#isLoaded = true;
  }

  /** Takes the changes that came while the claim was not current, once it is again. */
  public takeDeferred(): void {
    if (!this.#claim.isCurrent || this.#deferred.length === 0) return;
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
  public takeProgress({ value }: StoreItem, now: number): void {
    const progress = value === undefined ? undefined : parseStored(validators.JobProgress, value);
    if (progress !== undefined) this.#scheduler.restoreProgress(progress, now);
  }

  /** @param item - a job, a mark in its place, or its removal */
  public takeJob(item: StoreItem): void {
    const { key, value, revision } = item;
    const id = key.slice(storeKeys.jobs.length);
    if (value === undefined) {
      this.#scheduler.removeJob(id);
      return;
    }
    if (value === refusalMark) {
      this.#expired.addRefusal(key);
      return;
    }
    this.#expired.dropRefusal(key);
    if (this.#mustDefer && this.#scheduler.findJobState(id) === undefined) {
      this.#defer(() => {
        this.takeJob(item);
      });
      return;
    }
    const record = parseStored(validators.JobRecord, value);
    if (record === undefined) {
      this.#parts.log.write('jobUnreadable', { key });
      return;
    }
    const ageMs = this.#isLoaded ? 0 : Math.max(0, Date.now() - record.acceptedAtMs);
    this.#scheduler.addJob(record, revision, performance.now() - ageMs);
  }

  /** @param item - entry of a worker, or its removal */
  public takeWorker(item: StoreItem): void {
    const { operator, log } = this.#parts;
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
    if (this.#mustDefer && !this.#hasLife(id, entry.life)) {
      this.#defer(() => {
        this.takeWorker(item);
      });
      return;
    }
    const worker = this.#scheduler.updateWorker(entry, false);
    if (worker === undefined) return;
    log.write('workerListed', { worker: id, life: entry.life, service: entry.service });
    this.#drive(worker);
  }

  /** @param items - all entries of workers; others are no longer listed */
  public unlistAbsent(items: readonly StoreItem[]): void {
    const { workerPrefix } = this.#parts.operator;
    const listed = new Set(items.map(({ key }) => key.slice(workerPrefix.length)));
    for (const { id } of this.#scheduler.workers) {
      if (!listed.has(id)) this.#scheduler.unlistWorker(id);
    }
  }

  /** Without a current claim, a successor may already have started a new job, or tasks on a new worker. */
  get #mustDefer(): boolean {
    return this.#isLoaded && !this.#claim.isCurrent;
  }

  #defer(take: () => void): void {
    this.#deferred = [...this.#deferred, take];
  }

  #hasLife(id: string, life: number): boolean {
    return this.#scheduler.workers.some((worker) => worker.id === id && worker.life === life);
  }
}
