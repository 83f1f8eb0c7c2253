import {
  createFailure,
  listReleasedQueues,
  periods,
  ReleaseTermsManager,
  readJournal,
  TakeoverIndex,
  TakeoverEditor,
  type Policy,
  type Shard,
} from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Failure, JournalEntry, SubmitCall } from '@toucanline/schema';

const retryMs = 500;

const readEntryId = (entry: JournalEntry): string => {
  if (entry.entry === 'accepted') return entry.request.id;
  return entry.entry === 'finished' ? entry.view.id : entry.requestId;
};

/** What the succession works with. */
interface SuccessionParts {
  readonly runtime: ProcessRuntime;
  readonly shard: Shard;
  /** Whether this process still acts as the owner and does not hand the shard over. */
  readonly isActive: () => boolean;
  /** Called after requests were taken in. */
  readonly onChange: () => void;
}

/**
 * Passes work between data centres on behalf of one shard: gives queues up after a time without contact, drops
 * what others took, and takes in what this shard was given.
 */
export class WorkSuccession {
  readonly #parts: SuccessionParts;
  readonly #terms: ReleaseTermsManager;
  readonly #takeovers: TakeoverEditor;
  #book = new TakeoverIndex();
  #policy: Policy;
  #inheriting = false;
  #publishing = false;
  /** Local monotonic time at which the first queue was given up. */
  #releasedAt: number | undefined;

  /**
   * @param parts - what the succession works with
   * @param policy - policy in effect
   */
  public constructor(parts: SuccessionParts, policy: Policy) {
    this.#parts = parts;
    this.#policy = policy;
    this.#terms = new ReleaseTermsManager(parts.runtime, parts.shard.name);
    this.#takeovers = new TakeoverEditor(parts.runtime);
  }

  /** Whether work was given up because the data centre was cut off. */
  public get hasReleased(): boolean {
    return this.#releasedAt !== undefined;
  }

  /**
   * Applies a new policy.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#policy = policy;
  }

  /**
   * Learns what passed to other data centres before anything of the journal can start, and tells them
   * what they may rely on.
   *
   * @returns why that failed, unless it succeeded
   */
  public async load(): Promise<Failure | undefined> {
    const book = await this.#takeovers.read();
    if (book.isErr()) return book.error;
    this.#book = book.value;
    this.#parts.shard.applyTakeovers(book.value);
    if (await this.#terms.write(this.#policy.releaseDelaysMs)) return undefined;
    return createFailure('storeUnavailable', 'the release terms of the shard cannot be written');
  }

  /**
   * Selects the entries of the own journal that no other shard took over.
   *
   * @param entries - the journal, oldest first
   * @returns the entries that still count here
   */
  public selectOwn(entries: readonly JournalEntry[]): readonly JournalEntry[] {
    const { name } = this.#parts.shard;
    return entries.filter((entry) => !this.#book.isTakenOverFrom(readEntryId(entry), name));
  }

  /** Writes changed release terms; until the store has them, the shorter of both times counts here. */
  public async keepTerms(): Promise<void> {
    const { releaseDelaysMs: releases } = this.#policy;
    if (this.#publishing || this.#terms.isUpToDate(releases)) return;
    this.#publishing = true;
    if (!(await this.#terms.write(releases))) await this.#parts.runtime.clock.sleep(retryMs);
    this.#publishing = false;
  }

  /**
   * Takes in the requests that this shard was given, and notes it once the own journal has them.
   *
   * @param book - the record of takeovers
   */
  public async inherit(book: TakeoverIndex): Promise<void> {
    if (this.#inheriting) return;
    const { shard, runtime, isActive, onChange } = this.#parts;
    this.#inheriting = true;
    for (const takeover of book.listPendingInheritances(shard.name)) {
      const mine = Object.entries(takeover.requests).filter(
        ([, successor]) => successor === shard.name,
      );
      const entries = await readJournal(runtime.store, takeover.shard);
      if (entries.isErr() || !isActive()) continue;
      const isDone = shard.takeOver(entries.value, new Set(mine.map(([id]) => id)));
      onChange();
      if (isDone) await this.#takeovers.markInherited(takeover, shard.name);
    }
    this.#inheriting = false;
  }

  /**
   * Takes an attached request of another shard, which belongs to this one once the record says so.
   *
   * @param call - the request
   * @returns why it was not taken, unless it was or belongs to this shard
   */
  public async takeAttached(call: SubmitCall): Promise<Failure | undefined> {
    const { shard, request, remainingMs } = call;
    const former = request.id.split('.')[0] ?? '';
    if (former === shard || this.#parts.shard.hasRequest(request.id)) return undefined;
    const { id, queue, idempotent } = request;
    const deadlineMs = remainingMs + periods.retentionMs;
    const taken = await this.#takeovers.takeOverRequest(id, former, queue, shard, deadlineMs);
    if (taken.isErr()) return taken.error;
    if (!idempotent && this.#parts.isActive()) this.#parts.shard.addOutcomeUnknown(request);
    return undefined;
  }

  /**
   * Checks whether a contact followed after work was given up, so that a new claim is needed.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns true if the ownership has to end
   */
  public isOutdated(contactAt: number): boolean {
    return this.#releasedAt !== undefined && contactAt > this.#releasedAt;
  }

  /**
   * Lists the queues whose time without store contact has passed.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns names of the queues to give up
   */
  public listReleased(contactAt: number): ReadonlySet<string> {
    const now = this.#parts.runtime.clock.now();
    const { releaseDelaysMs: releases } = this.#policy;
    const { published } = this.#terms;
    const queues = listReleasedQueues({ releases, published, contactAt, now });
    if (queues.size > 0) this.#releasedAt ??= now;
    return queues;
  }
}
