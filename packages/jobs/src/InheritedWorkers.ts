import type { Placements } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Workers on which the previous leader may have started something, as long as this one has not looked there. */
export class InheritedWorkers {
  readonly #jobs: JobRegistry;
  readonly #electionRevision: number;
  readonly #electedAt: number;
  /** Unsurveyed workers with the monotonic time by which everything on them has ended. */
  readonly #leaseExpiries = new Map<Worker, number>();

  /**
   * @param book - the jobs
   * @param claimRevision - revision of the store at which this leader was elected
   * @param startedAt - monotonic time of the election
   */
  public constructor(book: JobRegistry, claimRevision: number, startedAt: number) {
    this.#jobs = book;
    this.#electionRevision = claimRevision;
    this.#electedAt = startedAt;
  }

  /**
   * Notes a worker of the previous leader.
   *
   * @param worker - the worker
   * @param remainingMs - longest time for which something may run there, if the previous leader had suspended it
   */
  public add(worker: Worker, remainingMs: number | undefined): void {
    const {
      maxWorkerLeaseMs: longestLeaseMs,
      leaderGraceMs,
      minClockRate: slowestClockRate,
      leaseExpiryMarginMs: lapseMarginMs,
    } = schedulingLimits;
    // The previous leader may go on with its orders for its grace, except on workers that it suspended.
    const longestMs = leaderGraceMs + longestLeaseMs / slowestClockRate + lapseMarginMs;
    const waitMs = Math.min(remainingMs ?? longestMs, longestMs);
    if (waitMs > 0) this.#leaseExpiries.set(worker, this.#electedAt + waitMs);
  }

  /**
   * Takes what the previous leader had on the workers: it counts against caps until they are surveyed.
   *
   * @param placements - the last that was written
   * @param pool - the workers
   */
  public countPlacements(placements: Placements, pool: WorkerPool): void {
    for (const { worker: id, life, account, room } of placements.workers) {
      const worker = pool.find(id);
      if (worker?.life !== life || !this.#leaseExpiries.has(worker)) continue;
      this.#jobs.ensureAccount(account).setInheritedUsage(id, room);
    }
  }

  /**
   * Tells by when everything on a worker has ended that was not surveyed.
   *
   * @param worker - the worker
   * @returns monotonic time; undefined if nothing can run there
   */
  public findLeaseExpiry(worker: Worker): number | undefined {
    return this.#leaseExpiries.get(worker);
  }

  /**
   * Tells whether tasks of a job may still run where this leader has not looked.
   *
   * @param job - the job
   * @param service - service of its queue
   * @returns whether they are to wait
   */
  public canStillRun(job: Job, service: string): boolean {
    if (job.acceptedRevision > this.#electionRevision) return false;
    for (const { entry } of this.#leaseExpiries.keys()) if (entry.service === service) return true;
    return false;
  }

  /** @param now - monotonic time; workers on which everything has ended by now are no longer waited for */
  public removeExpired(now: number): void {
    for (const [worker, lapsesAt] of this.#leaseExpiries) if (now > lapsesAt) this.remove(worker);
  }

  /** @param worker - worker that was surveyed or has ended */
  public remove(worker: Worker): void {
    if (!this.#leaseExpiries.delete(worker)) return;
    for (const account of this.#jobs.accounts) account.setInheritedUsage(worker.id, undefined);
  }
}
