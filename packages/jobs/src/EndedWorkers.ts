import type { InheritedWorkers } from './InheritedWorkers.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Releases what ran on workers that have ended, or whose leases have lapsed. */
export class EndedWorkers {
  readonly #pool: WorkerPool;
  readonly #inheritedWorkers: InheritedWorkers;
  /** Incarnations that are known to have ended and whose tasks were not released yet. */
  readonly #ended = new Set<Worker>();

  /**
   * @param pool - the workers
   * @param inheritance - workers on which the previous leader may have started something
   */
  public constructor(pool: WorkerPool, inheritance: InheritedWorkers) {
    this.#pool = pool;
    this.#inheritedWorkers = inheritance;
  }

  /** @param worker - incarnation that has ended */
  public add(worker: Worker): void {
    worker.unlist();
    this.#ended.add(worker);
  }

  /**
   * Tells whether an incarnation has ended.
   *
   * @param worker - the worker
   * @returns whether nothing of it counts any more
   */
  public has(worker: Worker): boolean {
    return this.#ended.has(worker) || this.#pool.find(worker.id) !== worker;
  }

  /**
   * Releases the tasks of ended and lapsed workers; called only while the claim is current.
   *
   * @param now - monotonic time
   */
  public releaseExpired(now: number): void {
    for (const ended of [...this.#ended, ...this.#pool.takeReplaced()])
      this.#removeWorker(ended, now);
    this.#ended.clear();
    this.#inheritedWorkers.removeExpired(now);
    for (const worker of this.#pool.all) {
      const mayRun =
        worker.isSurveyed || this.#inheritedWorkers.findLeaseExpiry(worker) !== undefined;
      const hasLapsed = now > worker.leasesExpireAt;
      if (!worker.isListed && (!mayRun || hasLapsed)) this.#removeWorker(worker, now);
      else if (hasLapsed) releaseTasks(worker, now);
    }
  }

  #removeWorker(worker: Worker, now: number): void {
    this.#pool.remove(worker);
    this.#inheritedWorkers.remove(worker);
    releaseTasks(worker, now);
  }
}

const releaseTasks = (worker: Worker, now: number): void => {
  for (const task of [...worker.tasks]) task.release('', now);
};
