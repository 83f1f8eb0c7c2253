import type { WorkerEntry } from '@toucanline/schema';
import { Worker } from './Worker.js';

/** Workers that the platform lists, and unlisted ones that may still run tasks. */
export class WorkerPool {
  readonly #maxLeaseMs: number;
  readonly #byId = new Map<string, Worker>();
  /** Cached list of all workers, because each planning pass reads it several times. */
  #all: readonly Worker[] | undefined;
  /** Replaced incarnations, which have ended; unlisted workers stay in the pool until their leases have expired. */
  #replaced: Worker[] = [];

  /** @param maxLeaseMs - longest lease that a worker accepts, in milliseconds */
  public constructor(maxLeaseMs: number) {
    this.#maxLeaseMs = maxLeaseMs;
  }

  /** All workers that may run tasks. */
  public get all(): readonly Worker[] {
    this.#all ??= [...this.#byId.values()];
    return this.#all;
  }

  /**
   * Finds a worker.
   *
   * @param id - id of the worker
   * @returns the latest incarnation; undefined if the worker is unknown
   */
  public find(id: string): Worker | undefined {
    return this.#byId.get(id);
  }

  /**
   * Adds or updates a worker; entries of earlier incarnations are ignored.
   *
   * @param entry - entry of the worker in the platform's list
   * @returns the worker if its incarnation is new; undefined otherwise
   */
  public update(entry: WorkerEntry): Worker | undefined {
    const known = this.#byId.get(entry.id);
    if (known !== undefined && entry.life <= known.life) {
      if (entry.life === known.life) known.replaceEntry(entry);
      return undefined;
    }
    if (known !== undefined) this.#replaced.push(known);
    const worker = new Worker(entry, this.#maxLeaseMs);
    this.#byId.set(entry.id, worker);
    this.#all = undefined;
    return worker;
  }

  /**
   * Removes an incarnation; does nothing if a later one has replaced it.
   *
   * @param worker - incarnation that has certainly ended
   */
  public remove(worker: Worker): void {
    if (this.#byId.get(worker.id) !== worker) return;
    this.#byId.delete(worker.id);
    this.#all = undefined;
  }

  /**
   * Takes the incarnations that were replaced since the last call.
   *
   * @returns replaced incarnations, which run nothing any more
   */
  public takeReplaced(): readonly Worker[] {
    const replaced = this.#replaced;
    this.#replaced = [];
    return replaced;
  }
}
