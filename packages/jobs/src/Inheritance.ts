import type { Placements } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Workers on which the previous leader may have started something, as long as this one has not looked there. */
export class Inheritance {
  readonly #book: JobBook;
  readonly #claimRevision: number;
  readonly #startedAt: number;
  /** Unsurveyed workers with the monotonic time by which everything on them has ended. */
  readonly #lapses = new Map<Worker, number>();

  /**
   * @param book - the jobs
   * @param claimRevision - revision of the store at which this leader was elected
   * @param startedAt - monotonic time of the election
   */
  public constructor(book: JobBook, claimRevision: number, startedAt: number) {
    this.#book = book;
    this.#claimRevision = claimRevision;
    this.#startedAt = startedAt;
  }

  /**
   * Notes a worker of the previous leader.
   *
   * @param worker - the worker
   * @param remainingMs - longest time for which something may run there, if the previous leader had suspended it
   */
  public add(worker: Worker, remainingMs: number | undefined): void {
    const { longestLeaseMs, leaderGraceMs, slowestClockRate, lapseMarginMs } = schedulingLimits;
    // The previous leader may go on with its orders for its grace, except on workers that it suspended.
    const longestMs = leaderGraceMs + longestLeaseMs / slowestClockRate + lapseMarginMs;
    const waitMs = Math.min(remainingMs ?? longestMs, longestMs);
    if (waitMs > 0) this.#lapses.set(worker, this.#startedAt + waitMs);
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
      if (worker?.life !== life || !this.#lapses.has(worker)) continue;
      this.#book.findAccount(account).noteUnseen(id, room);
    }
  }

  /**
   * Tells by when everything on a worker has ended that was not surveyed.
   *
   * @param worker - the worker
   * @returns monotonic time; undefined if nothing can run there
   */
  public lapseOf(worker: Worker): number | undefined {
    return this.#lapses.get(worker);
  }

  /**
   * Tells whether tasks of a job may still run where this leader has not looked.
   *
   * @param job - the job
   * @param service - service of its queue
   * @returns whether they are to wait
   */
  public isHeld(job: Job, service: string): boolean {
    if (job.acceptedRevision > this.#claimRevision) return false;
    for (const { entry } of this.#lapses.keys()) if (entry.service === service) return true;
    return false;
  }

  /** @param now - monotonic time; workers on which everything has ended by now are no longer waited for */
  public expire(now: number): void {
    for (const [worker, lapsesAt] of this.#lapses) if (now > lapsesAt) this.forget(worker);
  }

  /** @param worker - worker that was surveyed or has ended */
  public forget(worker: Worker): void {
    if (!this.#lapses.delete(worker)) return;
    for (const account of this.#book.accounts) account.noteUnseen(worker.id, undefined);
  }
}
