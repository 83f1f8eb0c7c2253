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

const retryDelayMs = 500;

const readEntryId = (entry: JournalEntry): string => {
  if (entry.entry === 'accepted') return entry.request.id;
  return entry.entry === 'finished' ? entry.view.id : entry.requestId;
};

/** What the succession works with. */
interface TransferDependencies {
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
export class WorkTransfer {
  readonly #dependencies: TransferDependencies;
  readonly #releaseTerms: ReleaseTermsManager;
  readonly #takeoverEditor: TakeoverEditor;
  #takeoverIndex = new TakeoverIndex();
  #policy: Policy;
  #isTakingOver = false;
  #isPublishing = false;
  /** Local monotonic time at which the first queue was given up. */
  #firstReleaseAt: number | undefined;

  /**
   * @param parts - what the succession works with
   * @param policy - policy in effect
   */
  public constructor(parts: TransferDependencies, policy: Policy) {
    this.#dependencies = parts;
    this.#policy = policy;
    this.#releaseTerms = new ReleaseTermsManager(parts.runtime, parts.shard.name);
    this.#takeoverEditor = new TakeoverEditor(parts.runtime);
  }

  /** Whether work was given up because the data centre was cut off. */
  public get hasReleasedQueues(): boolean {
    return this.#firstReleaseAt !== undefined;
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
    const book = await this.#takeoverEditor.read();
    if (book.isErr()) return book.error;
    this.#takeoverIndex = book.value;
    this.#dependencies.shard.applyTakeovers(book.value);
    if (await this.#releaseTerms.write(this.#policy.releaseDelaysMs)) return undefined;
    return createFailure('storeUnavailable', 'the release terms of the shard cannot be written');
  }

  /**
   * Selects the entries of the own journal that no other shard took over.
   *
   * @param entries - the journal, oldest first
   * @returns the entries that still count here
   */
  public selectOwnEntries(entries: readonly JournalEntry[]): readonly JournalEntry[] {
    const { name } = this.#dependencies.shard;
    return entries.filter(
      (entry) => !this.#takeoverIndex.isTakenOverFrom(readEntryId(entry), name),
    );
  }

  /** Writes changed release terms; until the store has them, the shorter of both times counts here. */
  public async publishReleaseTerms(): Promise<void> {
    const { releaseDelaysMs: releases } = this.#policy;
    if (this.#isPublishing || this.#releaseTerms.isUpToDate(releases)) return;
    this.#isPublishing = true;
    if (!(await this.#releaseTerms.write(releases)))
      await this.#dependencies.runtime.clock.sleep(retryDelayMs);
    this.#isPublishing = false;
  }

  /**
   * Takes in the requests that this shard was given, and notes it once the own journal has them.
   *
   * @param book - the record of takeovers
   */
  public async takeOverAssigned(book: TakeoverIndex): Promise<void> {
    if (this.#isTakingOver) return;
    const { shard, runtime, isActive, onChange } = this.#dependencies;
    this.#isTakingOver = true;
    for (const takeover of book.listPendingInheritances(shard.name)) {
      const mine = Object.entries(takeover.requests).filter(
        ([, successor]) => successor === shard.name,
      );
      const entries = await readJournal(runtime.store, takeover.shard);
      if (entries.isErr() || !isActive()) continue;
      const isDone = shard.takeOver(entries.value, new Set(mine.map(([id]) => id)));
      onChange();
      if (isDone) await this.#takeoverEditor.markInherited(takeover, shard.name);
    }
    this.#isTakingOver = false;
  }

  /**
   * Takes an attached request of another shard, which belongs to this one once the record says so.
   *
   * @param call - the request
   * @returns why it was not taken, unless it was or belongs to this shard
   */
  public async takeOverAttached(call: SubmitCall): Promise<Failure | undefined> {
    const { shard, request, remainingMs } = call;
    const former = request.id.split('.')[0] ?? '';
    if (former === shard || this.#dependencies.shard.hasRequest(request.id)) return undefined;
    const { id, queue, idempotent } = request;
    const deadlineMs = remainingMs + periods.retentionMs;
    const taken = await this.#takeoverEditor.takeOverRequest(id, former, queue, shard, deadlineMs);
    if (taken.isErr()) return taken.error;
    if (!idempotent && this.#dependencies.isActive())
      this.#dependencies.shard.addOutcomeUnknown(request);
    return undefined;
  }

  /**
   * Checks whether a contact followed after work was given up, so that a new claim is needed.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns true if the ownership has to end
   */
  public isClaimOutdated(contactAt: number): boolean {
    return this.#firstReleaseAt !== undefined && contactAt > this.#firstReleaseAt;
  }

  /**
   * Lists the queues whose time without store contact has passed.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns names of the queues to give up
   */
  public listQueuesToRelease(contactAt: number): ReadonlySet<string> {
    const now = this.#dependencies.runtime.clock.now();
    const { releaseDelaysMs: releases } = this.#policy;
    const { published } = this.#releaseTerms;
    const queues = listReleasedQueues({ releases, published, contactAt, now });
    if (queues.size > 0) this.#firstReleaseAt ??= now;
    return queues;
  }
}
