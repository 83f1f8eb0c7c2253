import type { Scheduler } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { storeKeys } from './storeKeys.js';

/** Removes finished jobs and markers from the store after the retention time. */
export class JobCleanup {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #log: EventLog;
  /** Keys with a marker, and the monotonic time in milliseconds at which the marker was seen. */
  readonly #markers = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param scheduler - owns the jobs
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    scheduler: Scheduler,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = scheduler;
    this.#log = dependencies.log;
  }

  /** Starts the periodic cleanup. */
  public start(): void {
    this.#timer = setInterval(() => {
      void this.#removeExpired();
    }, hostLimits.cleanupIntervalMs);
  }

  /** Stops the periodic cleanup. */
  public stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Adds a marker to remove later.
   *
   * @param key - job key that holds the marker
   */
  public addMarker(key: string): void {
    this.#markers.set(key, performance.now());
  }

  /**
   * Forgets a marker, because its job was accepted later.
   *
   * @param key - job key
   */
  public removeMarker(key: string): void {
    this.#markers.delete(key);
  }

  /** Removes expired jobs and markers, as many as the transactions of one cleanup allow; the others follow later. */
  async #removeExpired(): Promise<void> {
    const { retentionMs } = this.#dependencies.times;
    const finished = this.#scheduler.listExpiredJobs(Date.now() - retentionMs);
    const expiredMarkers = [...this.#markers]
      .filter(([, seenAt]) => performance.now() - seenAt > retentionMs)
      .map(([key]) => key);
    const keys = [
      ...finished.flatMap((id) => [storeKeys.jobPrefix + id, storeKeys.progressPrefix + id]),
      ...expiredMarkers,
    ];
    const { maxRemovalsPerWrite, maxWritesPerCleanup } = hostLimits;
    for (let write = 0; write < maxWritesPerCleanup; write += 1) {
      const batch = keys.slice(write * maxRemovalsPerWrite, (write + 1) * maxRemovalsPerWrite);
      if (batch.length === 0 || !this.#leaderLease.isValid || !(await this.#remove(batch))) return;
    }
  }

  async #remove(keys: readonly string[]): Promise<boolean> {
    const outcome = await this.#dependencies.store.commit({
      expected: [{ key: storeKeys.holder, revision: this.#leaderLease.holderRevision }],
      put: [],
      remove: keys,
    });
    this.#log.write('expiredJobsRemoved', {
      keys: keys.length,
      outcome: outcome.isOk() ? 'done' : outcome.error.kind,
    });
    if (outcome.isErr() || !outcome.value.committed) return false;
    for (const key of keys) this.#markers.delete(key);
    return true;
  }
}
