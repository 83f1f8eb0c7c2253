import type { Inheritance } from './Inheritance.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Releases what ran on workers that have ended, or whose leases have lapsed. */
export class WorkerEnds {
  readonly #pool: WorkerPool;
  readonly #inheritance: Inheritance;
  /** Incarnations that are known to have ended and whose tasks were not released yet. */
  readonly #ended = new Set<Worker>();

  /**
   * @param pool - the workers
   * @param inheritance - workers on which the previous leader may have started something
   */
  public constructor(pool: WorkerPool, inheritance: Inheritance) {
    this.#pool = pool;
    this.#inheritance = inheritance;
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
  public release(now: number): void {
    for (const ended of [...this.#ended, ...this.#pool.takeEnded()]) this.#drop(ended, now);
    this.#ended.clear();
    this.#inheritance.expire(now);
    for (const worker of this.#pool.all) {
      const mayRun = worker.isSurveyed || this.#inheritance.lapseOf(worker) !== undefined;
      const hasLapsed = now > worker.lapsesAt;
      if (!worker.isListed && (!mayRun || hasLapsed)) this.#drop(worker, now);
      else if (hasLapsed) releaseTasks(worker, now);
    }
  }

  #drop(worker: Worker, now: number): void {
    this.#pool.remove(worker);
    this.#inheritance.forget(worker);
    releaseTasks(worker, now);
  }
}

const releaseTasks = (worker: Worker, now: number): void => {
  for (const task of [...worker.tasks]) task.release('', now);
};
