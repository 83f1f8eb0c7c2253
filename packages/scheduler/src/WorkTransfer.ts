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

/** Dependencies of the transfer. */
interface TransferDependencies {
  readonly runtime: ProcessRuntime;
  readonly shard: Shard;
  /** Whether this process acts as the owner and does not hand the shard over. */
  readonly isActive: () => boolean;
  /** Called after requests were taken over. */
  readonly onChange: () => void;
}

/**
 * Transfers work between data centres on behalf of one shard: releases queues after a time without store contact,
 * drops requests that other shards took over, and takes over requests that are assigned to this shard.
 */
export class WorkTransfer {
  readonly #dependencies: TransferDependencies;
  readonly #releaseTerms: ReleaseTermsManager;
  readonly #takeoverEditor: TakeoverEditor;
  #takeoverIndex = new TakeoverIndex();
  #policy: Policy;
  #isTakingOver = false;
  #isPublishing = false;
  /** Local monotonic time when the first queue was released, in milliseconds. */
  #firstReleaseAt: number | undefined;

  /**
   * @param dependencies - services and callbacks to use
   * @param policy - policy in effect
   */
  public constructor(dependencies: TransferDependencies, policy: Policy) {
    this.#dependencies = dependencies;
    this.#policy = policy;
    this.#releaseTerms = new ReleaseTermsManager(dependencies.runtime, dependencies.shard.name);
    this.#takeoverEditor = new TakeoverEditor(dependencies.runtime);
  }

  /** Whether queues were released because the data centre was cut off. */
  public get hasReleasedQueues(): boolean {
    return this.#firstReleaseAt !== undefined;
  }

  /**
   * Applies a new policy.
   *
   * @param policy - new policy
   */
  public applyPolicy(policy: Policy): void {
    this.#policy = policy;
  }

  /**
   * Reads the record of takeovers, before any request of the journal can start, and publishes the release terms on
   * which other data centres rely.
   *
   * @returns the failure; undefined on success
   */
  public async load(): Promise<Failure | undefined> {
    const index = await this.#takeoverEditor.read();
    if (index.isErr()) return index.error;
    this.#takeoverIndex = index.value;
    this.#dependencies.shard.applyTakeovers(index.value);
    if (await this.#releaseTerms.write(this.#policy.releaseDelaysMs)) return undefined;
    return createFailure('storeUnavailable', 'cannot write the release terms of the shard');
  }

  /**
   * Selects the entries of the journal of this shard whose requests no other shard took over.
   *
   * @param entries - entries of the journal, oldest first
   * @returns entries of the requests that still belong to this shard
   */
  public selectOwnEntries(entries: readonly JournalEntry[]): readonly JournalEntry[] {
    const { name } = this.#dependencies.shard;
    return entries.filter(
      (entry) => !this.#takeoverIndex.isTakenOverFrom(readEntryId(entry), name),
    );
  }

  /** Writes changed release terms to the store; until it has them, the shorter of both delays applies here. */
  public async publishReleaseTerms(): Promise<void> {
    const { releaseDelaysMs: releases } = this.#policy;
    if (this.#isPublishing || this.#releaseTerms.isUpToDate(releases)) return;
    this.#isPublishing = true;
    try {
      if (!(await this.#releaseTerms.write(releases)))
        await this.#dependencies.runtime.clock.sleep(retryDelayMs);
    } finally {
      this.#isPublishing = false;
    }
  }

  /**
   * Takes over the requests that are assigned to this shard, and records that once its journal has them.
   *
   * @param index - newest record of takeovers
   */
  public async takeOverAssigned(index: TakeoverIndex): Promise<void> {
    if (this.#isTakingOver) return;
    const { shard, runtime, isActive, onChange } = this.#dependencies;
    this.#isTakingOver = true;
    for (const takeover of index.listPendingInheritances(shard.name)) {
      const assigned = Object.entries(takeover.requests).filter(
        ([, successor]) => successor === shard.name,
      );
      const entries = await readJournal(runtime.store, takeover.shard);
      if (entries.isErr() || !isActive()) continue;
      const isDone = shard.takeOver(entries.value, new Set(assigned.map(([id]) => id)));
      onChange();
      if (isDone) await this.#takeoverEditor.markInherited(takeover, shard.name);
    }
    this.#isTakingOver = false;
  }

  /**
   * Takes over an attached request of another shard; it belongs to this shard once the record of takeovers has it.
   *
   * @param call - submit call with the request
   * @returns the failure; undefined if the request was taken over or belongs to this shard
   */
  public async takeOverAttached(call: SubmitCall): Promise<Failure | undefined> {
    const { shard, request, remainingMs } = call;
    const originShard = request.id.split('.')[0] ?? '';
    if (originShard === shard || this.#dependencies.shard.hasRequest(request.id)) return undefined;
    const { id, queue, idempotent } = request;
    const deadlineMs = remainingMs + periods.retentionMs;
    const result = await this.#takeoverEditor.takeOverRequest(
      id,
      originShard,
      queue,
      shard,
      deadlineMs,
    );
    if (result.isErr()) return result.error;
    if (!idempotent && this.#dependencies.isActive())
      this.#dependencies.shard.addOutcomeUnknown(request);
    return undefined;
  }

  /**
   * Checks whether the store was contacted after queues were released, so that a new claim is needed.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns true if the ownership has to end
   */
  public isClaimOutdated(contactAt: number): boolean {
    return this.#firstReleaseAt !== undefined && contactAt > this.#firstReleaseAt;
  }

  /**
   * Lists the queues whose release delay has passed since the last store contact.
   *
   * @param contactAt - local monotonic time before the last contact with the store, in milliseconds
   * @returns names of the queues to release
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
