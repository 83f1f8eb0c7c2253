import type { Worker } from '../Worker.js';

/** Time at which a worker is warm, computed from its entry. */
interface WarmUp {
  /** Value in the entry, in milliseconds. An entry that is read again with the same value does not restart the time. */
  readonly coldLeftMs: number;
  /** Monotonic time in milliseconds. */
  readonly warmAt: number;
}

/**
 * Keeps for how long workers stay cold. The times count from when this leader first saw an entry, since the clocks of
 * two machines need not agree; they are at most too long by the age of the entry.
 */
export class ColdWorkers {
  readonly #warmUps = new WeakMap<Worker, WarmUp>();

  /**
   * Reads the entries of the workers.
   *
   * @param workers - all known workers
   * @param now - monotonic time in milliseconds
   */
  public update(workers: readonly Worker[], now: number): void {
    for (const worker of workers) {
      const { coldLeftMs = 0 } = worker.entry;
      const known = this.#warmUps.get(worker);
      if (known?.coldLeftMs === coldLeftMs) continue;
      if (coldLeftMs > 0) this.#warmUps.set(worker, { coldLeftMs, warmAt: now + coldLeftMs });
      else if (known !== undefined) this.#warmUps.delete(worker);
    }
  }

  /**
   * Computes for how long a worker stays cold.
   *
   * @param worker - worker to check
   * @param now - monotonic time in milliseconds
   * @returns time in milliseconds; 0 if the worker is warm
   */
  public computeLeftMs(worker: Worker, now: number): number {
    const warmUp = this.#warmUps.get(worker);
    return warmUp === undefined ? 0 : Math.max(0, warmUp.warmAt - now);
  }
}
