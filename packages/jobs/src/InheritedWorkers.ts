import type { Placements } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Workers on which the previous leader may have started runs and which this leader has not surveyed yet. */
export class InheritedWorkers {
  readonly #jobs: JobRegistry;
  readonly #electionRevision: number;
  readonly #electedAt: number;
  /**
   * Longest time for which runs of the previous leader may continue after the election, in milliseconds. It may send
   * commands until its grace period ends, except to workers that it suspended.
   */
  readonly #longestWaitMs: number;
  /** Unsurveyed workers, with the monotonic time in milliseconds by which all leases on them have expired. */
  readonly #leaseExpiries = new Map<Worker, number>();
  #areWorkersUnknown = false;

  /**
   * @param jobs - known jobs
   * @param electionRevision - revision of the store at which this leader was elected
   * @param electedAt - monotonic time of the election, in milliseconds
   * @param maxLeaseMs - longest lease that a worker accepts, in milliseconds
   */
  public constructor(
    jobs: JobRegistry,
    electionRevision: number,
    electedAt: number,
    maxLeaseMs: number,
  ) {
    this.#jobs = jobs;
    this.#electionRevision = electionRevision;
    this.#electedAt = electedAt;
    const { leaderGraceMs, longestLeaseMs, minClockRate, leaseExpiryMarginMs } = schedulingLimits;
    this.#longestWaitMs =
      leaderGraceMs + Math.min(maxLeaseMs, longestLeaseMs) / minClockRate + leaseExpiryMarginMs;
  }

  /**
   * Adds a worker of the previous leader.
   *
   * @param worker - worker that is not surveyed yet
   * @param remainingMs - longest time for which runs may continue there, in milliseconds, if the previous leader had
   * suspended the worker; undefined otherwise
   */
  public add(worker: Worker, remainingMs: number | undefined): void {
    const waitMs = Math.min(remainingMs ?? this.#longestWaitMs, this.#longestWaitMs);
    // Also a worker without leases is asked first: the previous leader may not know how its last runs ended.
    this.#leaseExpiries.set(worker, this.#electedAt + Math.max(0, waitMs));
  }

  /**
   * Assumes that any worker may run tasks of the previous leader, because its list of workers cannot be read. All jobs
   * accepted before the election wait for the longest lease.
   */
  public assumeUnknownWorkers(): void {
    this.#areWorkersUnknown = true;
  }

  /**
   * Counts the usage that the previous leader had placed on the workers against account caps until they are surveyed.
   *
   * @param placements - last placements that were written to the store
   * @param pool - known workers
   */
  public countPlacements(placements: Placements, pool: WorkerPool): void {
    for (const { worker: id, life, account, room } of placements.workers) {
      const worker = pool.find(id);
      if (worker?.life !== life || !this.#leaseExpiries.has(worker)) continue;
      const usage = this.#jobs.ensureAccount(account);
      // A worker is listed twice if an earlier leader had placed tasks there as well.
      const listed = usage.inheritedUsage.get(id) ?? resources.none;
      usage.setInheritedUsage(id, resources.add(listed, room));
    }
  }

  /**
   * Finds when all leases on an unsurveyed worker have expired.
   *
   * @param worker - worker to check
   * @returns monotonic time in milliseconds; undefined if no inherited run can exist there
   */
  public findLeaseExpiry(worker: Worker): number | undefined {
    return this.#leaseExpiries.get(worker);
  }

  /** Workers that are not surveyed; undefined if these are not known, so that any worker may run tasks. */
  public get unsurveyed(): readonly Worker[] | undefined {
    return this.#areWorkersUnknown ? undefined : [...this.#leaseExpiries.keys()];
  }

  /** Services of the unsurveyed workers. */
  public get services(): ReadonlySet<string> {
    return new Set([...this.#leaseExpiries.keys()].map(({ entry }) => entry.service));
  }

  /**
   * Checks whether tasks of a job may still run on workers that this leader has not surveyed.
   *
   * @param job - job that may have started under the previous leader
   * @param mayHaveRunOn - checks whether tasks of its queue may have started on workers of a service
   * @returns whether the job must wait
   */
  public canStillRun(job: Job, mayHaveRunOn: (service: string) => boolean): boolean {
    if (job.acceptedRevision > this.#electionRevision) return false;
    if (this.#areWorkersUnknown) return true;
    for (const { entry } of this.#leaseExpiries.keys())
      if (mayHaveRunOn(entry.service)) return true;
    return false;
  }

  /**
   * Replaces an unsurveyed worker with its next incarnation, on which the previous leader may have started runs without
   * knowing of it.
   *
   * @param worker - incarnation that has ended
   * @param next - next incarnation under the same id
   */
  public replace(worker: Worker, next: Worker): void {
    const expiresAt = this.#leaseExpiries.get(worker);
    if (expiresAt === undefined) return;
    this.#leaseExpiries.delete(worker);
    this.#leaseExpiries.set(next, expiresAt);
  }

  /**
   * Removes workers on which all leases have expired and that do not answer. A leader that could not issue commands
   * after its election has not asked for their runs yet.
   *
   * @param now - monotonic time in milliseconds
   */
  public removeExpired(now: number): void {
    if (now > this.#electedAt + this.#longestWaitMs) this.#areWorkersUnknown = false;
    for (const [worker, expiresAt] of this.#leaseExpiries)
      if (now > expiresAt && worker.isUnreachable(now)) this.remove(worker);
  }

  /**
   * Removes a worker, and its usage from the account caps.
   *
   * @param worker - worker that was surveyed or has ended
   */
  public remove(worker: Worker): void {
    if (!this.#leaseExpiries.delete(worker)) return;
    for (const account of this.#jobs.accounts) account.setInheritedUsage(worker.id, undefined);
  }
}
