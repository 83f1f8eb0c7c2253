import type { WorkerEntry } from '@toucanline/schema';
import { formatIncarnation } from './formatIncarnation.js';
import type { FencingTokens } from './membership/FencingTokens.js';
import { EndedIncarnations } from './membership/EndedIncarnations.js';
import { Worker } from './Worker.js';

/** Workers that the platform lists, and unlisted ones that may still run tasks. */
export class WorkerPool {
  readonly #maxLeaseMs: number;
  readonly #tokens: FencingTokens;
  readonly #byId = new Map<string, Worker>();
  /** Cached list of all workers, because each planning pass reads it several times. */
  #all: readonly Worker[] | undefined;
  /** Replaced incarnations, which have ended; unlisted workers stay in the pool until their leases have expired. */
  #replaced: Worker[] = [];
  readonly #endedIncarnations = new EndedIncarnations();
  /** Store revision of the newest entry, by worker id. */
  readonly #entryRevisions = new Map<string, number>();
  /** Names of incarnations that have ended if the worker turns out to be newer, by worker. */
  readonly #unconfirmedEnds = new Map<Worker, readonly string[]>();

  /**
   * @param maxLeaseMs - longest lease that a worker accepts, in milliseconds
   * @param tokens - issues the fencing tokens of commands
   */
  public constructor(maxLeaseMs: number, tokens: FencingTokens) {
    this.#maxLeaseMs = maxLeaseMs;
    this.#tokens = tokens;
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
   * Adds or updates a worker. Older entries and those of incarnations that have ended are ignored.
   *
   * @param entry - entry of the worker in the platform's list
   * @param revision - store revision of the entry; without it the entry counts as newer than those before
   * @returns the worker if its incarnation is new; undefined otherwise
   */
  public update(entry: WorkerEntry, revision?: number): Worker | undefined {
    const { id, life } = entry;
    if (revision !== undefined) {
      if (revision < (this.#entryRevisions.get(id) ?? 0)) return undefined;
      this.#entryRevisions.set(id, revision);
    }
    const known = this.#byId.get(id);
    if (known?.life === life) {
      known.replaceEntry(entry);
      return undefined;
    }
    if (this.#endedIncarnations.has(formatIncarnation(id, life))) return undefined;
    const worker = new Worker(entry, this.#maxLeaseMs, this.#tokens);
    if (known === undefined) this.#set(worker);
    else {
      if (known.hasEntry) this.#endedIncarnations.add(known.incarnation);
      else {
        const earlier = this.#unconfirmedEnds.get(known) ?? [];
        this.#unconfirmedEnds.set(worker, [...earlier, known.incarnation]);
      }
      this.#replace(known, worker);
    }
    return worker;
  }

  /**
   * Replaces a worker with an incarnation that only a report has shown. It must be surveyed, but gets no tasks until it
   * is listed, since its capacity and labels may differ.
   *
   * @param known - incarnation that was known so far, which has ended
   * @param life - incarnation that the report shows
   * @returns the new incarnation
   */
  public addReported(known: Worker, life: number): Worker {
    const worker = new Worker({ ...known.entry, life }, this.#maxLeaseMs, this.#tokens);
    worker.markEntryMissing();
    this.#endedIncarnations.add(known.incarnation);
    // The order of entries may have suggested that it had ended.
    this.#endedIncarnations.remove(worker.incarnation);
    this.#replace(known, worker);
    return worker;
  }

  /**
   * Records that an incarnation has answered a request: those that it has replaced have certainly ended.
   *
   * @param worker - incarnation that has answered
   */
  public confirmIncarnation(worker: Worker): void {
    for (const name of this.#unconfirmedEnds.get(worker) ?? []) this.#endedIncarnations.add(name);
    this.#unconfirmedEnds.delete(worker);
  }

  /**
   * Removes an incarnation; does nothing if a later one has replaced it.
   *
   * @param worker - incarnation that has certainly ended
   */
  public remove(worker: Worker): void {
    if (this.#byId.get(worker.id) !== worker) return;
    this.#byId.delete(worker.id);
    this.#entryRevisions.delete(worker.id);
    this.#unconfirmedEnds.delete(worker);
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

  #replace(known: Worker, worker: Worker): void {
    this.#replaced.push(known);
    this.#unconfirmedEnds.delete(known);
    this.#set(worker);
  }

  #set(worker: Worker): void {
    this.#byId.set(worker.id, worker);
    this.#all = undefined;
  }
}
