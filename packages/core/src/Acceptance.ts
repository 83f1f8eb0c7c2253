import type { Failure, RequestView, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Admission } from './Admission.js';
import { createAcceptedEntry } from './createAcceptedEntry.js';
import { createFailure } from './createFailure.js';
import type { RequestRestorer } from './RequestRestorer.js';
import type { KeyRing } from './KeyRing.js';
import type { Policy } from './Policy.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Margin before the time at which an entry first handed a request in. Covers the transport of the
 * request and the difference in speed of two clocks up to its deadline.
 */
const startTimeMarginMs = 5000;

/** Interval between attempts to write a request to the journal after the store rejected it. */
const persistRetryDelayMs = 1000;

/** Components of the shard that the acceptance of requests reads and changes. */
interface AcceptanceDependencies {
  readonly table: RequestTable;
  readonly admission: Admission;
  readonly lifecycle: RequestLifecycle;
  readonly restorer: RequestRestorer;
  readonly readPolicy: () => Policy;
  readonly readKeyRing: () => Pick<KeyRing, 'isWithdrawn'> | undefined;
}

/**
 * Accepts requests into a shard: detects duplicates, applies admission control and commits the
 * requests that have to be durable.
 */
export class Acceptance {
  readonly #context: ShardContext;
  readonly #dependencies: AcceptanceDependencies;
  readonly #pendingAcceptances = new Map<number, RequestRecord>();
  /**
   * Requests that were accepted without a commit and are written to the journal later, by ticket.
   */
  readonly #pendingPersists = new Map<number, RequestRecord>();
  /** Requests whose write failed and has to be retried. */
  readonly #failedPersists = new Set<RequestRecord>();
  #retriedAt = -Infinity;
  #nextTicket = 1;

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that this class reads and changes
   */
  public constructor(context: ShardContext, dependencies: AcceptanceDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /** Requests whose acceptance is being committed to the journal. */
  public get committing(): ReadonlySet<RequestRecord> {
    return new Set(this.#pendingAcceptances.values());
  }

  /**
   * Checks whether the acceptance and the completion of a request have to be in the journal.
   *
   * @param request - the request
   * @returns true if the request is accepted only after a commit
   */
  public isJournaled(request: SubmitCall['request']): boolean {
    return request.detached || (!request.idempotent && request.idempotencyKey !== undefined);
  }

  /**
   * Accepts a request from an entry. For a duplicate of a known request, returns the current state
   * of that request.
   *
   * @param call - the request and the time left until its deadline
   * @returns the state of the request, or the reason for its refusal, which proves that it did not
   * run
   */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    const { request, remainingMs, heldEpoch, heldMs = Infinity } = call;
    const { clock, recorder, shard, epoch } = this.#context;
    const earlier = this.#dependencies.table.findOriginal(request);
    if (earlier !== undefined) return this.#joinDuplicate(earlier, call);
    const checked = this.#checkKeyActive(call).andThen(() =>
      this.#dependencies.admission.check(this.#dependencies.readPolicy(), call),
    );
    if (checked.isErr()) {
      const { kind, detail } = checked.error;
      recorder.record('requestRefused', { requestId: request.id, detail: `${kind}: ${detail}` });
      return err(checked.error);
    }
    const record = new RequestRecord(request, clock.now(), clock.now() + remainingMs);
    this.#dependencies.table.add(record);
    recorder.record('requestAdmitted', { requestId: request.id, team: request.team, shard });
    const wasHeld = heldEpoch !== undefined && heldEpoch < epoch;
    if (wasHeld) record.addUncertainStart(0, this.#readEarliestStart(request, heldMs));
    if (this.isJournaled(request)) this.#commitAccepted(record);
    else this.#dependencies.restorer.enqueue(record);
    return ok(record.describe());
  }

  /**
   * Checks whether the acceptance of a request still waits for its commit.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal has confirmed the acceptance
   */
  public isCommitting(requestId: string): boolean {
    for (const record of this.#pendingAcceptances.values())
      if (record.id === requestId) return true;
    return false;
  }

  /**
   * Applies the result of committing an acceptance to the journal.
   *
   * @param ticket - ticket of the commit effect
   * @param failure - why the entry is not in the journal; undefined if it was written
   */
  public applyCommitResult(ticket: number, failure?: Failure): void {
    this.#confirmPersist(ticket, failure);
    const record = this.#pendingAcceptances.get(ticket);
    if (record === undefined) return;
    this.#pendingAcceptances.delete(ticket);
    if (failure === undefined) {
      record.confirmAcceptance();
      this.#dependencies.restorer.enqueue(record);
    } else {
      const isOutcomeUnknown = failure.kind === 'outcomeUnknown';
      // The acceptance may be in the journal, where the next owner would find it and start the
      // request.
      if (isOutcomeUnknown) record.addUncertainStart(0);
      else record.setAccepted(false);
      this.#dependencies.lifecycle.finish(
        record,
        isOutcomeUnknown ? 'unknown' : 'refused',
        failure,
      );
    }
    this.#context.emit({ effect: 'changed', requestId: record.id });
  }

  /**
   * Returns the earliest time at which a previous owner may have started a request, as monotonic
   * time in milliseconds. An owner that was partitioned stops non-idempotent tasks of a released
   * queue and discards their reports, so reports prove nothing about these tasks.
   */
  #readEarliestStart({ queue, idempotent }: SubmitCall['request'], heldMs: number): number {
    const isReleasable = this.#dependencies.readPolicy().releaseDelaysMs.has(queue);
    if (!idempotent && isReleasable) return -Infinity;
    return this.#context.clock.now() - heldMs - startTimeMarginMs;
  }

  /**
   * Writes an attached request to the journal because its caller has stopped waiting. The request
   * then survives a failure of its entry, and its completion is written too.
   *
   * @param record - the request
   */
  public persistRequest(record: RequestRecord): void {
    if (record.isFinished || record.isAccepted) return;
    this.#failedPersists.delete(record);
    this.#pendingPersists.set(this.#writeAccepted(record), record);
  }

  /**
   * Requests whose callers have stopped waiting and that are not confirmed to be in the journal.
   */
  public get unpersisted(): readonly RequestRecord[] {
    return [...new Set([...this.#pendingPersists.values(), ...this.#failedPersists])];
  }

  /** Retries failed writes of requests whose callers have stopped waiting. */
  public tick(): void {
    const now = this.#context.clock.now();
    if (this.#failedPersists.size === 0 || now - this.#retriedAt < persistRetryDelayMs) return;
    this.#retriedAt = now;
    for (const record of [...this.#failedPersists]) this.persistRequest(record);
    this.#failedPersists.clear();
  }

  #confirmPersist(ticket: number, failure?: Failure): void {
    const record = this.#pendingPersists.get(ticket);
    if (record === undefined) return;
    this.#pendingPersists.delete(ticket);
    if (failure === undefined) record.confirmAcceptance();
    else if (failure.kind !== 'outcomeUnknown') {
      record.setAccepted(false);
      if (!record.isFinished) this.#failedPersists.add(record);
    }
    this.#context.emit({ effect: 'changed', requestId: record.id });
  }

  /** Refuses a withdrawn key: the entry may not have read the withdrawal yet. */
  #checkKeyActive({ request: { keyId } }: SubmitCall): Result<void, Failure> {
    if (keyId === undefined || this.#dependencies.readKeyRing()?.isWithdrawn(keyId) !== true)
      return ok(undefined);
    return err(createFailure('withdrawnKey', `the key ${keyId} was withdrawn`));
  }

  #joinDuplicate(
    record: RequestRecord,
    { request, remainingMs }: SubmitCall,
  ): Result<RequestView, Failure> {
    const isSameBody = record.request.digest === request.digest;
    if (!isSameBody || record.request.queue !== request.queue) {
      const detail = 'the idempotency key was used with another request body or queue';
      return err(createFailure('conflictingKey', detail));
    }
    this.#dependencies.table.addAlias(request.id, record);
    this.#dependencies.lifecycle.registerInterest(record);
    if (record.deadlineAt === Infinity) {
      record.setDeadline(this.#context.clock.now() + remainingMs);
    }
    return ok(record.describe());
  }

  #commitAccepted(record: RequestRecord): void {
    this.#pendingAcceptances.set(this.#writeAccepted(record), record);
  }

  #writeAccepted(record: RequestRecord): number {
    const { clock, emit } = this.#context;
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    record.setAccepted(true);
    emit({ effect: 'commit', ticket, entry: createAcceptedEntry(record, clock) });
    return ticket;
  }
}
