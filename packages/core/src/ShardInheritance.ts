import type {
  HeldRequest,
  JournalEntry,
  QuarantinedWorker,
  Roster,
  ShardSnapshot,
} from '@toucanline/schema';
import { createSnapshot } from './createSnapshot.js';
import { describeFinished } from './describeFinished.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardParts } from './ShardParts.js';

/** What passes from one owner of a shard to the next. */
export class ShardInheritance {
  readonly #context: ShardContext;
  readonly #parts: ShardParts;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts of the shard
   */
  public constructor(context: ShardContext, parts: ShardParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /**
   * Describes the state for a peer that takes the shard over.
   *
   * @param sent - identifiers of finished requests that the peer got before
   * @returns the snapshot
   */
  public createSnapshot(sent: ReadonlySet<string> = new Set()): ShardSnapshot {
    const { committing } = this.#parts.acceptance;
    const isCommitting = (record: RequestRecord): boolean => committing.has(record);
    const snapshot = createSnapshot(
      this.#context,
      this.#parts.table,
      this.#parts.fleet,
      isCommitting,
      sent,
    );
    return { ...snapshot, quarantined: this.listQuarantined() };
  }

  /**
   * Describes the finished requests for a peer that will take the shard over.
   *
   * @returns the requests one by one, also while the shard goes on
   */
  public describeFinished(): Generator<HeldRequest> {
    return describeFinished(this.#context, this.#parts.table);
  }

  /**
   * Loads the journal of earlier owners.
   *
   * @param entries - entries, oldest first
   * @param roster - workers that the former owner leased, because the host list may miss one that runs its
   * tasks, and those of them in quarantine
   */
  public loadJournal(
    entries: readonly JournalEntry[],
    { workers, quarantined = [] }: Pick<Roster, 'workers' | 'quarantined'> = { workers: [] },
  ): void {
    if (!this.#parts.recovery.isComplete) this.#parts.fleet.inherit(workers);
    this.#parts.quarantine.restore(quarantined);
    this.#parts.inherited.loadJournal(entries);
  }

  /**
   * Starts from the snapshot of the owner of the epoch before, after the host list was applied.
   *
   * @param snapshot - its state when it stopped to act
   * @param finished - records of finished requests that it handed over before
   */
  public restoreSnapshot(snapshot: ShardSnapshot, finished: readonly RequestRecord[] = []): void {
    for (const record of finished) this.#parts.table.add(record);
    this.#parts.quarantine.restore(snapshot.quarantined ?? []);
    this.#parts.inherited.restoreSnapshot(snapshot);
  }

  /**
   * Lists the workers in quarantine, for the next owner.
   *
   * @returns the workers with their next probes
   */
  public listQuarantined(): readonly QuarantinedWorker[] {
    return this.#parts.quarantine.list();
  }
}
