import type { WorkerEntry } from '@toucanline/schema';
import { Worker } from './Worker.js';

/** The workers that the platform lists, and those that left but may still run something. */
export class WorkerPool {
  readonly #byId = new Map<string, Worker>();
  /** Earlier incarnations are gone at once; unlisted ones stay until their leases lapsed. */
  #replaced: Worker[] = [];

  /** All workers that may run something. */
  public get all(): readonly Worker[] {
    return [...this.#byId.values()];
  }

  /**
   * Finds a worker.
   *
   * @param id - its id
   * @returns the newest incarnation
   */
  public find(id: string): Worker | undefined {
    return this.#byId.get(id);
  }

  /**
   * Takes an entry of the list.
   *
   * @param entry - the entry
   * @returns the worker, if this incarnation is new
   */
  public update(entry: WorkerEntry): Worker | undefined {
    const known = this.#byId.get(entry.id);
    if (known !== undefined && entry.life <= known.life) {
      if (entry.life === known.life) known.replaceEntry(entry);
      return undefined;
    }
    if (known !== undefined) this.#replaced.push(known);
    const worker = new Worker(entry);
    this.#byId.set(entry.id, worker);
    return worker;
  }

  /**
   * Removes an incarnation that has surely ended.
   *
   * @param worker - the worker
   */
  public remove(worker: Worker): void {
    if (this.#byId.get(worker.id) === worker) this.#byId.delete(worker.id);
  }

  /**
   * Hands out incarnations that were replaced since the last call.
   *
   * @returns the workers; they run nothing any more
   */
  public takeReplaced(): readonly Worker[] {
    const ended = this.#replaced;
    this.#replaced = [];
    return ended;
  }
}
