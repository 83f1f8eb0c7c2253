import type { Problem, RequestView } from '@toucanline/schema';
import type { ChaosSubmission } from './ChaosSubmission.js';
import type { ChaosSite } from './ChaosSite.js';

/** Last answer about a request. */
interface LastAnswer {
  readonly durable: boolean;
  /** Owner of the shard at the time of the answer, if the store named one. */
  readonly owner: string | undefined;
  /** Local monotonic time of the answer, in milliseconds. */
  readonly atMs: number;
}

/**
 * Distinguishes a lost request whose loss is permitted from one that violates a guarantee: `durable: false` in an
 * answer announces that the request is lost if its entry and its owner fail together.
 */
export class ChaosLossChecker {
  readonly #site: Pick<ChaosSite, 'readEntryName' | 'findOwner' | 'wasKilledSince'>;
  /** Entries to which a submission was sent, by its text. */
  readonly #entries = new Map<string, Set<string>>();
  readonly #lastAnswers = new Map<string, LastAnswer>();

  /** @param site - the site that gets the load */
  public constructor(site: Pick<ChaosSite, 'readEntryName' | 'findOwner' | 'wasKilledSince'>) {
    this.#site = site;
  }

  /**
   * Records the entry to which a submission is sent.
   *
   * @param submission - the submission
   * @param dataCentre - data centre of the entry
   */
  public recordEntry({ text }: ChaosSubmission, dataCentre: string): void {
    const entries = this.#entries.get(text) ?? new Set();
    entries.add(this.#site.readEntryName(dataCentre) ?? '');
    this.#entries.set(text, entries);
  }

  /**
   * Records an answer that is not final.
   *
   * @param view - state of the request
   */
  public recordAnswer({ id, durable }: RequestView): void {
    // A durable request has to stay durable.
    if (this.#lastAnswers.get(id)?.durable === true) return;
    const owner = this.#site.findOwner(id.split('.')[0] ?? '');
    this.#lastAnswers.set(id, { durable: durable !== false, owner, atMs: performance.now() });
  }

  /**
   * Checks whether the loss of a request was announced.
   *
   * @param submission - the submission
   * @param id - identifier of the lost request
   * @param problem - the answer that reports the loss
   * @returns true if the last answer said `durable: false`, all entries to which it was sent and the owner at that
   * time were killed after that answer, and the problem is `recordMissing` with an unknown execution
   */
  public isAnnounced({ text }: ChaosSubmission, id: string, { title, ran }: Problem): boolean {
    const lastAnswer = this.#lastAnswers.get(id);
    if (lastAnswer?.owner === undefined || lastAnswer.durable) return false;
    const processes = [lastAnswer.owner, ...(this.#entries.get(text) ?? [])];
    const areKilled = processes.every((name) => this.#site.wasKilledSince(name, lastAnswer.atMs));
    return areKilled && title === 'recordMissing' && ran === 'unknown';
  }
}
