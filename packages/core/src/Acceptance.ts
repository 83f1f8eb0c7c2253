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

/** Covers the transport of a request and the difference in speed of two clocks over its deadline. */
const startTimeMarginMs = 5000;

/** Interval between attempts to write a request that the store did not take. */
const persistRetryDelayMs = 1000;

/** Parts of the shard that acceptance reads and changes. */
interface AcceptanceDependencies {
  readonly table: RequestTable;
  readonly admission: Admission;
  readonly lifecycle: RequestLifecycle;
  readonly restorer: RequestRestorer;
  readonly readPolicy: () => Policy;
  readonly readKeyRing: () => Pick<KeyRing, 'isWithdrawn'> | undefined;
}

/** Takes requests into a shard: repeats, admission, and the commit of those that have to last. */
export class Acceptance {
  readonly #context: ShardContext;
  readonly #dependencies: AcceptanceDependencies;
  readonly #pendingAcceptances = new Map<number, RequestRecord>();
  /** Requests that were taken without a commit and are written later, by ticket. */
  readonly #pendingPersists = new Map<number, RequestRecord>();
  /** Requests to write again, because the store did not take them. */
  readonly #failedPersists = new Set<RequestRecord>();
  #retriedAt = -Infinity;
  #nextTicket = 1;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts to read and change
   */
  public constructor(context: ShardContext, parts: AcceptanceDependencies) {
    this.#context = context;
    this.#dependencies = parts;
  }

  /** Requests whose acceptance waits for its commit. */
  public get committing(): ReadonlySet<RequestRecord> {
    return new Set(this.#pendingAcceptances.values());
  }

  /**
   * Checks whether the end of a request has to be in the journal.
   *
   * @param request - the request
   * @returns true if it is accepted only after a commit
   */
  public isJournaled(request: SubmitCall['request']): boolean {
    return request.detached || (!request.idempotent && request.idempotencyKey !== undefined);
  }

  /**
   * Takes a request from an entry. The same request handed in again returns its current state.
   *
   * @param call - the request
   * @returns its state; or the reason why it was not taken, which proves that it did not run
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
   * Whether the acceptance of a request still waits for its commit.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal confirmed it
   */
  public isCommitting(requestId: string): boolean {
    for (const record of this.#pendingAcceptances.values())
      if (record.id === requestId) return true;
    return false;
  }

  /**
   * Confirms the commit of an acceptance.
   *
   * @param ticket - ticket of the effect
   * @param failure - why the entry is not in the journal, unless it is
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
      const isOpen = failure.kind === 'outcomeUnknown';
      // The acceptance may be in the journal, where the next owner finds and starts it.
      if (isOpen) record.addUncertainStart(0);
      else record.setAccepted(false);
      this.#dependencies.lifecycle.finish(record, isOpen ? 'unknown' : 'refused', failure);
    }
    this.#context.emit({ effect: 'changed', requestId: record.id });
  }

  /**
   * An owner that was cut off stops non-idempotent tasks of a released queue and forgets their reports, so
   * that reports prove nothing about them.
   */
  #readEarliestStart({ queue, idempotent }: SubmitCall['request'], heldMs: number): number {
    const isReleasable = this.#dependencies.readPolicy().releaseDelaysMs.has(queue);
    if (!idempotent && isReleasable) return -Infinity;
    return this.#context.clock.now() - heldMs - startTimeMarginMs;
  }

  /**
   * Writes an attached request to the journal, because its caller stops to wait: it then outlasts the
   * entry, and its end is written too.
   *
   * @param record - the request
   */
  public persistRequest(record: RequestRecord): void {
    if (record.isFinished || record.isAccepted) return;
    this.#failedPersists.delete(record);
    this.#pendingPersists.set(this.#writeAccepted(record), record);
  }

  /** Requests whose callers stopped to wait and that the journal does not certainly have. */
  public get unpersisted(): readonly RequestRecord[] {
    return [...new Set([...this.#pendingPersists.values(), ...this.#failedPersists])];
  }

  /** Writes again what the store did not take. */
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

  /** An entry may not have learned yet that a key was withdrawn. */
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
