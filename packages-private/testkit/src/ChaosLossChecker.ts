import type { Problem, RequestView } from '@toucanline/schema';
import type { ChaosSubmission } from './ChaosSubmission.js';
import type { ChaosSite } from './ChaosSite.js';

/** What callers were told last about a request. */
interface LastAnswer {
  readonly durable: boolean;
  /** Owner of its shard at that moment, if the store named one. */
  readonly owner: string | undefined;
  readonly atMs: number;
}

/**
 * Tells a loss that the answers announce from one that breaks a promise: `durable: false` says that a request is
 * lost if its entry and its owner fail together.
 */
export class ChaosLossChecker {
  readonly #site: Pick<ChaosSite, 'readEntryName' | 'findOwner' | 'wasKilledSince'>;
  /** Entries that took a submission, by its text. */
  readonly #entries = new Map<string, Set<string>>();
  readonly #lastAnswers = new Map<string, LastAnswer>();

  /** @param site - where the load runs */
  public constructor(site: Pick<ChaosSite, 'readEntryName' | 'findOwner' | 'wasKilledSince'>) {
    this.#site = site;
  }

  /**
   * Notes which entry gets a submission.
   *
   * @param record - the submission
   * @param dataCentre - data centre of the entry
   */
  public recordEntry({ text }: ChaosSubmission, dataCentre: string): void {
    const entries = this.#entries.get(text) ?? new Set();
    entries.add(this.#site.readEntryName(dataCentre) ?? '');
    this.#entries.set(text, entries);
  }

  /**
   * Notes an answer that is not final.
   *
   * @param view - the answer
   */
  public recordAnswer({ id, durable }: RequestView): void {
    // What was durable once has to stay so.
    if (this.#lastAnswers.get(id)?.durable === true) return;
    const owner = this.#site.findOwner(id.split('.')[0] ?? '');
    this.#lastAnswers.set(id, { durable: durable !== false, owner, atMs: performance.now() });
  }

  /**
   * Checks a loss.
   *
   * @param record - the submission
   * @param id - identifier of the lost request
   * @param problem - the answer that says that it is lost
   * @returns true if its last answer said `durable: false`, all entries that took it and the owner of that moment
   * were killed after that answer, and the problem does not say that it did not run
   */
  public isAnnounced({ text }: ChaosSubmission, id: string, { title, ran }: Problem): boolean {
    const told = this.#lastAnswers.get(id);
    if (told?.owner === undefined || told.durable) return false;
    const holders = [told.owner, ...(this.#entries.get(text) ?? [])];
    const areKilled = holders.every((name) => this.#site.wasKilledSince(name, told.atMs));
    return areKilled && title === 'recordMissing' && ran === 'unknown';
  }
}
