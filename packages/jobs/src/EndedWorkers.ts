import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { InheritedWorkers } from './InheritedWorkers.js';
import type { LateStarts } from './membership/LateStarts.js';
import type { UnreadWorkers } from './membership/UnreadWorkers.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Releases the tasks of workers that have ended or whose leases have expired. */
export class EndedWorkers {
  readonly #pool: WorkerPool;
  readonly #inheritedWorkers: InheritedWorkers;
  readonly #durations: DurationEstimates;
  readonly #lateStarts: LateStarts;
  readonly #unreadWorkers: UnreadWorkers;
  /** Incarnations that have ended and whose tasks are not released yet. */
  readonly #ended = new Set<Worker>();

  /**
   * @param pool - known workers
   * @param inheritedWorkers - unsurveyed workers on which the previous leader may have started runs
   * @param durations - learns from lost runs
   * @param lateStarts - starts that may still be executed
   * @param unreadWorkers - workers whose tasks are released without a report
   */
  public constructor(
    pool: WorkerPool,
    inheritedWorkers: InheritedWorkers,
    durations: DurationEstimates,
    lateStarts: LateStarts,
    unreadWorkers: UnreadWorkers,
  ) {
    this.#durations = durations;
    this.#pool = pool;
    this.#lateStarts = lateStarts;
    this.#unreadWorkers = unreadWorkers;
    this.#inheritedWorkers = inheritedWorkers;
  }

  /**
   * Adds an incarnation; its tasks are released with the next planning pass.
   *
   * @param worker - incarnation that has ended
   */
  public add(worker: Worker): void {
    worker.unlist();
    this.#ended.add(worker);
  }

  /**
   * Moves what the next incarnation of a worker may run to it. Commands name a worker by its id, so the next incarnation
   * executes those that were meant for the one before. Only runs that the earlier one has reported have ended with it. A
   * task whose start may still be executed is stopped on the next incarnation.
   *
   * @param worker - incarnation that was known so far
   * @param next - next incarnation under the same id
   * @param hasEnded - whether the earlier one has certainly ended; otherwise its reported runs move as well, and the
   * next report tells which of them run
   */
  public replace(worker: Worker, next: Worker, hasEnded: boolean): void {
    this.#inheritedWorkers.replace(worker, next);
    next.inheritLeases(worker);
    for (const task of [...worker.tasks]) {
      const mustStop = this.#lateStarts.isPending(task);
      if (!hasEnded || !task.isReported || mustStop) task.moveToIncarnation(next, mustStop);
    }
    this.#lateStarts.moveToIncarnation(next);
  }

  /**
   * Checks whether an incarnation has ended.
   *
   * @param worker - incarnation to check
   * @returns whether it has ended or was replaced, so that its reports must be ignored
   */
  public has(worker: Worker): boolean {
    return this.#ended.has(worker) || this.#pool.find(worker.id) !== worker;
  }

  /**
   * Releases the tasks of ended workers, and of those whose leases have expired and that do not answer. Called only while
   * the leader lease is current.
   *
   * @param now - monotonic time in milliseconds
   */
  public releaseExpired(now: number): void {
    for (const ended of [...this.#ended, ...this.#pool.takeReplaced()])
      this.#removeWorker(ended, now);
    this.#ended.clear();
    this.#inheritedWorkers.removeExpired(now);
    this.#unreadWorkers.prune();
    for (const worker of this.#pool.all) {
      const mayRun =
        worker.isSurveyed ||
        worker.tasks.size > 0 ||
        this.#lateStarts.hasAny(worker) ||
        this.#inheritedWorkers.findLeaseExpiry(worker) !== undefined;
      // A leader that could not issue commands for a while has not asked for the ends of the runs yet.
      const isLost =
        now > worker.leasesExpireAt && (worker.tasks.size === 0 || worker.isUnreachable(now));
      if (isLost && worker.tasks.size > 0) {
        this.#unreadWorkers.add(worker, now);
        this.#releaseTasks(worker, now);
      }
      const mustStay = (mayRun && !isLost) || this.#unreadWorkers.isAsked(worker, now);
      if (!worker.isListed && !mustStay) this.#removeWorker(worker, now);
    }
  }

  #removeWorker(worker: Worker, now: number): void {
    this.#pool.remove(worker);
    this.#inheritedWorkers.remove(worker);
    this.#releaseTasks(worker, now);
  }

  #releaseTasks(worker: Worker, now: number): void {
    for (const task of [...worker.tasks]) {
      if (task.hasFullDuration) this.#durations.recordCutShort(task, task.reportedRunMs, now);
      task.release('', now);
    }
  }
}
