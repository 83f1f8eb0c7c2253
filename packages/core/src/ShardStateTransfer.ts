import type {
  CancelCall,
  HeldRequest,
  JournalEntry,
  Roster,
  ShardSnapshot,
  SubmitCall,
} from '@toucanline/schema';
import { createResubmissions } from './createResubmissions.js';
import { createSnapshot } from './createSnapshot.js';
import { describeFinishedRequests } from './describeFinishedRequests.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardComponents } from './ShardComponents.js';

/** What passes from one owner of a shard to the next. */
export class ShardStateTransfer {
  readonly #context: ShardContext;
  readonly #components: ShardComponents;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts of the shard
   */
  public constructor(context: ShardContext, parts: ShardComponents) {
    this.#context = context;
    this.#components = parts;
  }

  /**
   * Describes the state for a peer that takes the shard over.
   *
   * @param sent - identifiers of finished requests that the peer got before
   * @returns the snapshot
   */
  public createSnapshot(sent: ReadonlySet<string> = new Set()): ShardSnapshot {
    const { committing } = this.#components.acceptance;
    const isCommitting = (record: RequestRecord): boolean => committing.has(record);
    const { table, fleet, ledger, quarantine } = this.#components;
    const parts = [this.#context, table, fleet, ledger.allotments] as const;
    const snapshot = createSnapshot(...parts, isCommitting, sent);
    return { ...snapshot, quarantined: quarantine.listQuarantined() };
  }

  /**
   * Describes the finished requests for a peer that will take the shard over.
   *
   * @returns the requests one by one, also while the shard goes on
   */
  public describeFinished(): Generator<HeldRequest> {
    return describeFinishedRequests(this.#context, this.#components.table);
  }

  /**
   * Loads the journal of earlier owners.
   *
   * @param entries - entries, oldest first
   * @param roster - workers that the former owner leased, of which the host list may miss one that runs its
   * tasks, those that operators drained, and those in quarantine
   */
  public loadJournal(
    entries: readonly JournalEntry[],
    { workers, drained = [], quarantined = [] }: Omit<Roster, 'shard' | 'epoch'> = { workers: [] },
  ): void {
    for (const worker of drained) this.#components.fleet.setDrained(worker, true);
    if (!this.#components.recovery.isComplete) this.#components.fleet.inherit(workers);
    this.#components.quarantine.restore(quarantined);
    this.#components.restorer.loadJournal(entries);
  }

  /**
   * Starts from the snapshot of the owner of the epoch before, after the host list was applied.
   *
   * @param snapshot - its state when it stopped to act
   * @param finished - records of finished requests that it handed over before
   */
  public restoreSnapshot(snapshot: ShardSnapshot, finished: readonly RequestRecord[] = []): void {
    for (const record of finished) this.#components.table.add(record);
    this.#components.quarantine.restore(snapshot.quarantined ?? []);
    this.#components.restorer.restoreSnapshot(snapshot);
  }

  /**
   * Lists the workers that the next owner has to know of.
   *
   * @returns those that may run tasks, those that operators drained and those in quarantine
   */
  public describeRoster(): Omit<Roster, 'shard' | 'epoch'> {
    const { fleet, quarantine } = this.#components;
    const quarantined = quarantine.listQuarantined();
    return {
      workers: fleet.listLeased(),
      drained: fleet.drained,
      ...(quarantined.length === 0 ? {} : { quarantined }),
    };
  }

  /**
   * Describes what only this owner and the entries know: requests whose callers stopped to wait, and cancellations.
   *
   * @returns the calls that tell it to the next owner
   */
  public describeUnpersisted(): readonly (SubmitCall | CancelCall)[] {
    const { table, relinquished: lost, lifecycle, acceptance } = this.#components;
    const isOwn = (record: RequestRecord): boolean =>
      table.find(record.id) === record && !lost.isRelinquished(record.request);
    const cancelled = lifecycle.unwrittenCancellations.filter(isOwn);
    const unkept = new Set([...acceptance.unpersisted.filter(isOwn), ...cancelled]);
    const cancellations = cancelled.map(({ id, request: { team } }): CancelCall => ({
      call: 'cancel',
      requestId: id,
      team,
    }));
    return [...createResubmissions(this.#context, [...unkept]), ...cancellations];
  }
}
