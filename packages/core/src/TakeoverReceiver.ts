import type { Failure, JournalEntry, Request } from '@toucanline/schema';
import { createFailure } from './createFailure.js';
import type { RequestRestorer } from './RequestRestorer.js';
import type { JournaledRequest } from './JournaledRequest.js';
import { listJournaledRequests } from './listJournaledRequests.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';

/** First ticket for takeovers; higher than any ticket of an acceptance or a completion. */
const firstTakeoverTicket = 2 ** 45;

/** Components of the shard that requests are added to. */
interface ReceiverDependencies {
  readonly table: RequestTable;
  readonly lifecycle: RequestLifecycle;
  readonly restorer: RequestRestorer;
}

/**
 * Takes over detached requests of lost data centres that were assigned to this shard, by committing them to its
 * journal.
 */
export class TakeoverReceiver {
  readonly #context: ShardContext;
  readonly #dependencies: ReceiverDependencies;
  readonly #pendingCommits = new Map<number, JournaledRequest>();
  readonly #pendingIds = new Set<string>();
  #nextTicket = firstTakeoverTicket;

  /**
   * @param context - identity and services that the components of the shard share
   * @param dependencies - components to add the requests to
   */
  public constructor(context: ShardContext, dependencies: ReceiverDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Takes over requests. Each one is committed to the journal of this shard before it can start.
   *
   * @param entries - journal of the lost shard, oldest first
   * @param ids - identifiers of the requests that were assigned to this shard
   * @returns true once the journal of this shard has all of them
   */
  public takeOver(entries: readonly JournalEntry[], ids: ReadonlySet<string>): boolean {
    const { clock, emit } = this.#context;
    // A completion after the takeover was written by the previous owner when it dropped the request, so finished
    // requests are included.
    const missing = [...listJournaledRequests(entries).values()].filter(
      ({ request }) =>
        ids.has(request.id) && this.#dependencies.table.find(request.id) === undefined,
    );
    for (const taken of missing) {
      if (this.#pendingIds.has(taken.request.id)) continue;
      const ticket = this.#nextTicket;
      this.#nextTicket += 1;
      this.#pendingCommits.set(ticket, taken);
      this.#pendingIds.add(taken.request.id);
      const entry = {
        entry: 'accepted',
        request: taken.request,
        deadlineAtMs: taken.deadlineAtMs,
        atMs: clock.wallTime(),
      } as const;
      emit({ effect: 'commit', ticket, entry });
    }
    return missing.length === 0;
  }

  /**
   * Adds a request that a lost data centre may have started and that must not be started again, so that its
   * caller can read that its outcome is unknown.
   *
   * @param request - the request
   */
  public addOutcomeUnknown(request: Request): void {
    const { clock } = this.#context;
    if (this.#dependencies.table.find(request.id) !== undefined) return;
    const record = new RequestRecord(request, clock.now(), clock.now());
    this.#dependencies.table.add(record);
    this.#finishOutcomeUnknown(record);
  }

  /**
   * Applies the result of the commit of a request that is taken over.
   *
   * @param ticket - ticket of the effect
   * @param failure - reason why the entry is not in the journal; undefined if it is
   * @returns false if the ticket does not belong to such a request
   */
  public applyCommitResult(ticket: number, failure?: Failure): boolean {
    if (ticket < firstTakeoverTicket) return false;
    const taken = this.#pendingCommits.get(ticket);
    this.#pendingCommits.delete(ticket);
    if (taken === undefined) return true;
    this.#pendingIds.delete(taken.request.id);
    // Without the commit the request stays assigned to this shard, and the next call of `takeOver` tries again.
    if (failure === undefined) this.#accept(taken);
    return true;
  }

  #accept({ request, deadlineAtMs, mayHaveStarted }: JournaledRequest): void {
    const { clock, recorder, shard } = this.#context;
    const deadlineAt = clock.now() + deadlineAtMs - clock.wallTime();
    const record = new RequestRecord(request, clock.now(), deadlineAt);
    record.setAccepted(true);
    this.#dependencies.table.add(record);
    recorder.record('requestAdmitted', { requestId: request.id, team: request.team, shard });
    if (!request.idempotent && mayHaveStarted) {
      this.#finishOutcomeUnknown(record);
    } else this.#dependencies.restorer.enqueue(record);
    this.#context.emit({ effect: 'changed', requestId: request.id });
  }

  #finishOutcomeUnknown(record: RequestRecord): void {
    record.addUncertainStart(1);
    const detail = 'it may have started in a data centre that is cut off or lost';
    this.#dependencies.lifecycle.finish(record, 'unknown', createFailure('outcomeUnknown', detail));
  }
}
