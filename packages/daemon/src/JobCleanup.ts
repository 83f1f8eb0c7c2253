import { schedulingLimits, type Scheduler } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { storeKeys } from './storeKeys.js';

/** Removes jobs and marks of refused submissions from the store once nobody asks for them any more. */
export class JobCleanup {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #log: EventLog;
  /** Keys of refused submissions with the monotonic time at which they were seen. */
  readonly #refusalMarkers = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - has the jobs
   */
  public constructor(parts: LeaderDependencies, claim: LeaderLease, scheduler: Scheduler) {
    this.#dependencies = parts;
    this.#leaderLease = claim;
    this.#scheduler = scheduler;
    this.#log = parts.log;
  }

  /** Starts to remove. */
  public start(): void {
    this.#timer = setInterval(() => {
      void this.#removeExpired();
    }, hostLimits.cleanupIntervalMs);
  }

  /** Ends the removal. */
  public stop(): void {
    clearInterval(this.#timer);
  }

  /** @param key - key of a job at which a refusal was marked */
  public addRefusalMarker(key: string): void {
    this.#refusalMarkers.set(key, performance.now());
  }

  /** @param key - key of a job that was accepted after all */
  public removeRefusalMarker(key: string): void {
    this.#refusalMarkers.delete(key);
  }

  /** Removes a few in each transaction. */
  async #removeExpired(): Promise<void> {
    if (!this.#leaderLease.isValid) return;
    const { retentionMs } = schedulingLimits;
    const finished = this.#scheduler.listExpiredJobs(Date.now() - retentionMs);
    const refused = [...this.#refusalMarkers]
      .filter(([, seenAt]) => performance.now() - seenAt > retentionMs)
      .map(([key]) => key);
    const keys = [
      ...finished.flatMap((id) => [storeKeys.jobPrefix + id, storeKeys.progressPrefix + id]),
      ...refused,
    ].slice(0, hostLimits.maxRemovalsPerWrite);
    if (keys.length === 0) return;
    const outcome = await this.#dependencies.store.commit({
      expected: [{ key: storeKeys.holder, revision: this.#leaderLease.holderRevision }],
      put: [],
      remove: keys,
    });
    this.#log.write('expiredJobsRemoved', {
      keys: keys.length,
      outcome: outcome.isOk() ? 'done' : outcome.error.kind,
    });
    if (outcome.isOk()) for (const key of refused) this.#refusalMarkers.delete(key);
  }
}
