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

/** Transfers the state of a shard from one owner to the next, by a snapshot or by the journal. */
export class ShardStateTransfer {
  readonly #context: ShardContext;
  readonly #components: ShardComponents;

  /**
   * @param context - identity and services that the components of the shard share
   * @param components - components of the shard
   */
  public constructor(context: ShardContext, components: ShardComponents) {
    this.#context = context;
    this.#components = components;
  }

  /**
   * Creates a snapshot for the peer that becomes the next owner.
   *
   * @param sent - identifiers of finished requests that were sent to the peer before
   * @returns the snapshot
   */
  public createSnapshot(sent: ReadonlySet<string> = new Set()): ShardSnapshot {
    const { committing } = this.#components.acceptance;
    const isCommitting = (record: RequestRecord): boolean => committing.has(record);
    const { table, fleet, ledger, quarantine } = this.#components;
    const state = [this.#context, table, fleet, ledger.allotments] as const;
    const snapshot = createSnapshot(...state, isCommitting, sent);
    return { ...snapshot, quarantined: quarantine.listQuarantined() };
  }

  /**
   * Describes the finished requests for the peer that becomes the next owner.
   *
   * @returns the requests one by one; the shard may change during the iteration
   */
  public describeFinished(): Generator<HeldRequest> {
    return describeFinishedRequests(this.#context, this.#components.table);
  }

  /**
   * Loads the journal of previous owners.
   *
   * @param entries - entries, oldest first
   * @param roster - workers that the previous owner had leased, since the host list may lack one that runs its
   * tasks, and those that were drained or quarantined
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
   * Restores the snapshot of the owner of the previous epoch. The host list has to be applied before.
   *
   * @param snapshot - state of the previous owner when it stopped acting
   * @param finished - records of finished requests that the previous owner sent before
   */
  public restoreSnapshot(snapshot: ShardSnapshot, finished: readonly RequestRecord[] = []): void {
    for (const record of finished) this.#components.table.add(record);
    this.#components.quarantine.restore(snapshot.quarantined ?? []);
    this.#components.restorer.restoreSnapshot(snapshot);
  }

  /**
   * Describes the workers that the next owner has to know.
   *
   * @returns those that may run tasks, and those that are drained or quarantined
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
   * Describes what is not in the journal: requests whose callers stopped waiting, and cancellations.
   *
   * @returns calls that submit or cancel these requests at the next owner
   */
  public describeUnpersisted(): readonly (SubmitCall | CancelCall)[] {
    const { table, relinquished, lifecycle, acceptance } = this.#components;
    const isOwn = (record: RequestRecord): boolean =>
      table.find(record.id) === record && !relinquished.isRelinquished(record.request);
    const cancelled = lifecycle.unwrittenCancellations.filter(isOwn);
    const unpersisted = new Set([...acceptance.unpersisted.filter(isOwn), ...cancelled]);
    const cancellations = cancelled.map(({ id, request: { team } }): CancelCall => ({
      call: 'cancel',
      requestId: id,
      team,
    }));
    return [...createResubmissions(this.#context, [...unpersisted]), ...cancellations];
  }
}
