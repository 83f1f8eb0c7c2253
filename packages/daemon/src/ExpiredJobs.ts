import { schedulingLimits, type Scheduler } from '@toucanline/jobs';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';
import type { LeaderClaim } from './LeaderClaim.js';
import type { LeadershipParts } from './LeadershipParts.js';
import { storeKeys } from './storeKeys.js';

/** Removes jobs and marks of refused submissions from the store once nobody asks for them any more. */
export class ExpiredJobs {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #log: DecisionLog;
  /** Keys of refused submissions with the monotonic time at which they were seen. */
  readonly #refusals = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - has the jobs
   */
  public constructor(parts: LeadershipParts, claim: LeaderClaim, scheduler: Scheduler) {
    this.#parts = parts;
    this.#claim = claim;
    this.#scheduler = scheduler;
    this.#log = parts.log;
  }

  /** Starts to remove. */
  public start(): void {
    this.#timer = setInterval(() => {
      void this.#remove();
    }, hostTimes.cleanupMs);
  }

  /** Ends the removal. */
  public stop(): void {
    clearInterval(this.#timer);
  }

  /** @param key - key of a job at which a refusal was marked */
  public addRefusal(key: string): void {
    this.#refusals.set(key, performance.now());
  }

  /** @param key - key of a job that was accepted after all */
  public dropRefusal(key: string): void {
    this.#refusals.delete(key);
  }

  /** Removes a few in each transaction. */
  async #remove(): Promise<void> {
    if (!this.#claim.isCurrent) return;
    const { retentionMs } = schedulingLimits;
    const finished = this.#scheduler.listExpiredJobs(Date.now() - retentionMs);
    const refused = [...this.#refusals]
      .filter(([, seenAt]) => performance.now() - seenAt > retentionMs)
      .map(([key]) => key);
    const keys = [
      ...finished.flatMap((id) => [storeKeys.jobs + id, storeKeys.progress + id]),
      ...refused,
    ].slice(0, hostTimes.removalsPerWrite);
    if (keys.length === 0) return;
    const outcome = await this.#parts.store.commit({
      expected: [{ key: storeKeys.holder, revision: this.#claim.revision }],
      put: [],
      remove: keys,
    });
    this.#log.write('expiredJobsRemoved', {
      keys: keys.length,
      outcome: outcome.isOk() ? 'done' : outcome.error.kind,
    });
    if (outcome.isOk()) for (const key of refused) this.#refusals.delete(key);
  }
}
