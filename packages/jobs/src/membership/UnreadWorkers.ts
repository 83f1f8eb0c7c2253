import type { Job } from '../Job.js';
import { schedulingLimits } from '../schedulingLimits.js';
import type { Worker } from '../Worker.js';
import type { WorkerPool } from '../WorkerPool.js';

/** Tasks that were released from an incarnation of a worker without a report of how their runs ended. */
interface UnreadRuns {
  readonly incarnation: string;
  /** Monotonic time of the last release, in milliseconds. */
  readonly since: number;
  readonly jobs: ReadonlySet<Job>;
}

/**
 * Workers whose tasks were released because their leases had expired and they did not answer. How the runs ended is known
 * only from the worker, so it is asked until it reports. Jobs of such tasks wait while it can be asked.
 */
export class UnreadWorkers {
  readonly #pool: WorkerPool;
  readonly #byWorker = new Map<string, UnreadRuns>();

  /** @param pool - known workers */
  public constructor(pool: WorkerPool) {
    this.#pool = pool;
  }

  /**
   * Records that the tasks of a worker are released without a report.
   *
   * @param worker - worker with the tasks
   * @param now - monotonic time in milliseconds
   */
  public add(worker: Worker, now: number): void {
    const { id, incarnation, tasks } = worker;
    const earlier = this.#byWorker.get(id);
    const jobs = new Set(earlier?.incarnation === incarnation ? earlier.jobs : []);
    for (const { step } of tasks) jobs.add(step.job);
    this.#byWorker.set(id, { incarnation, since: now, jobs });
  }

  /**
   * Checks whether a worker must report before its released tasks start again.
   *
   * @param worker - worker to check
   * @returns whether its report is missing
   */
  public has({ id, incarnation }: Worker): boolean {
    return this.#byWorker.get(id)?.incarnation === incarnation;
  }

  /**
   * Checks whether a worker that is no longer listed is still asked.
   *
   * @param worker - worker to check
   * @param now - monotonic time in milliseconds
   * @returns whether its report is missing, and may still arrive
   */
  public isAsked(worker: Worker, now: number): boolean {
    const since = this.#byWorker.get(worker.id)?.since ?? -Infinity;
    return this.has(worker) && now - since <= schedulingLimits.unreadRetentionMs;
  }

  /**
   * Records a complete report.
   *
   * @param worker - worker that sent it
   * @param sentAt - monotonic time at which it was requested, in milliseconds
   */
  public recordReport(worker: Worker, sentAt: number): void {
    const since = this.#byWorker.get(worker.id)?.since ?? Infinity;
    if (this.has(worker) && sentAt >= since) this.#byWorker.delete(worker.id);
  }

  /**
   * Checks whether a job must wait, because a worker that can be asked may list that a task of it is done.
   *
   * @param job - job to check
   * @param now - monotonic time in milliseconds
   * @returns whether none of its tasks may start
   */
  public mustWait(job: Job, now: number): boolean {
    for (const [id, { incarnation, jobs }] of this.#byWorker) {
      const worker = this.#pool.find(id);
      if (worker?.incarnation !== incarnation || !jobs.has(job)) continue;
      if (!worker.isUnreachable(now)) return true;
    }
    return false;
  }

  /** Forgets runs that no report can tell of any more, and those of finished jobs. */
  public prune(): void {
    for (const [id, { incarnation, jobs }] of this.#byWorker) {
      const known = this.#pool.find(id)?.incarnation ?? incarnation;
      if (known !== incarnation || [...jobs].every(({ isFinished }) => isFinished))
        this.#byWorker.delete(id);
    }
  }
}
