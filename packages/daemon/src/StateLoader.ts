import type { Scheduler, StoreItem, Worker } from '@toucanline/jobs';
import { validators } from '@toucanline/schema';
import { hostLimits } from './hostLimits.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import type { LeaderLease } from './LeaderLease.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import type { RosterManager } from './RosterManager.js';
import { runGuarded } from './runGuarded.js';
import type { StoreChangeHandler } from './StoreChangeHandler.js';
import { StoredStateReader } from './StoredStateReader.js';

/** Store revisions from which the leader goes on after it has loaded the state. */
interface LoadedRevisions {
  /** Revision after which changes of jobs are watched. */
  readonly jobs: number;
  /** Revision after which changes of workers are watched. */
  readonly workers: number;
  /** Revision of the key that orders the writes of progress; 0 if it does not exist. */
  readonly progressOrder: number;
}

/** Loads the stored state of a new leader into its scheduler. */
export class StateLoader {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #changeHandler: StoreChangeHandler;
  readonly #rosterManager: RosterManager;
  readonly #onWorkerRestored: (worker: Worker) => void;
  readonly #reader: StoredStateReader;
  readonly #startedAt = performance.now();
  #isStopped = false;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param scheduler - receives the placements of the previous leader
   * @param changeHandler - applies progress, jobs and workers
   * @param rosterManager - restores the roster of the previous leader
   * @param onWorkerRestored - called for each worker of the roster, which must be surveyed
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    scheduler: Scheduler,
    changeHandler: StoreChangeHandler,
    rosterManager: RosterManager,
    onWorkerRestored: (worker: Worker) => void,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = scheduler;
    this.#changeHandler = changeHandler;
    this.#rosterManager = rosterManager;
    this.#onWorkerRestored = onWorkerRestored;
    this.#reader = new StoredStateReader(dependencies.store, dependencies.decoder);
  }

  /** Time since the loader was created, in milliseconds. */
  public get ageMs(): number {
    return performance.now() - this.#startedAt;
  }

  /** Applies nothing any more. */
  public stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads and applies the stored state. Finished jobs follow in parts after that.
   *
   * @returns revisions from which to go on; undefined if a read failed, in which case what was read is kept for the next
   * call, or if the loader was stopped
   */
  public async load(): Promise<LoadedRevisions | undefined> {
    const { log } = this.#dependencies;
    const { term } = this.#leaderLease;
    const state = await this.#reader.read();
    if (this.#isStopped) return undefined;
    if (state === undefined) {
      const missing = this.#reader.missingKeys.join(' ');
      log.write('leaderNotLoaded', { term, missing, durationMs: Math.round(this.ageMs) });
      return undefined;
    }
    const { roster, suspensions, queueServices, placements, progressOrder } = state;
    const { progress, jobs, workers } = state;
    const now = performance.now();
    this.#applyEach(progress.items, (item) => {
      this.#changeHandler.applyProgress(item, now);
    });
    const finishedJobs = this.#changeHandler.applyStoredJobs(jobs.items);
    const restored = this.#rosterManager.restore(roster, suspensions, queueServices);
    for (const worker of restored) this.#onWorkerRestored(worker);
    this.#restorePlacements(placements);
    this.#applyEach(workers.items, (item) => {
      this.#changeHandler.applyWorker(item);
    });
    this.#changeHandler.unlistAbsentWorkers(workers.items);
    void this.#applyFinishedJobs(finishedJobs);
    log.write('leaderLoaded', {
      term,
      jobs: jobs.items.length,
      progress: progress.items.length,
      workers: workers.items.length,
      inherited: restored.length,
      suspended: restored.filter(({ isSuspended }) => isSuspended).length,
      durationMs: Math.round(this.ageMs),
    });
    return {
      jobs: jobs.revision,
      workers: workers.revision,
      progressOrder: progressOrder?.revision ?? 0,
    };
  }

  #restorePlacements(item: StoreItem | undefined): void {
    const placements =
      item?.value === undefined ? undefined : parseStoredRecord(validators.Placements, item.value);
    if (item?.value !== undefined && placements === undefined)
      this.#dependencies.log.writeError(item.key, 'the stored placements cannot be decoded');
    this.#scheduler.restorePlacements(placements);
  }

  /** Applies finished jobs in parts, since a takeover must not wait for jobs that need no decision. */
  async #applyFinishedJobs(items: readonly StoreItem[]): Promise<void> {
    const { finishedJobsPerTurn, minPlanIntervalMs } = hostLimits;
    for (let from = 0; from < items.length && !this.#isStopped; from += finishedJobsPerTurn) {
      await new Promise((resolve) => setTimeout(resolve, minPlanIntervalMs));
      this.#applyEach(items.slice(from, from + finishedJobsPerTurn), (item) => {
        this.#changeHandler.applyJob(item);
      });
    }
  }

  /** Applies items one by one: an error concerns only one of them. */
  #applyEach(items: readonly StoreItem[], apply: (item: StoreItem) => void): void {
    for (const item of items) {
      runGuarded(
        () => {
          apply(item);
        },
        (error) => {
          this.#dependencies.log.writeError(item.key, error);
        },
      );
    }
  }
}
