import type { Failure, JournalEntry } from '@toucanline/schema';
import { createAcceptedEntry } from './createAcceptedEntry.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/** Tickets of ends start here, above those of acceptances, so that the two cannot be mistaken. */
const firstTicket = 2 ** 40;
/** Ticket of an acceptance that is written together with the end; the ticket of the end settles both. */
const pairTicket = firstTicket - 1;
/** Time after which a result is shown although its commit is not confirmed. */
const resultPatienceMs = 2000;
/** Interval between attempts to write what the store did not take. */
const rewriteMs = 1000;

/** A write whose result is not known. */
interface PendingWrite {
  readonly record: RequestRecord;
  readonly isEnd: boolean;
}

/** Writes ends and cancellations of requests to the journal, and hides ends until it has them. */
export class CompletionWriter {
  readonly #context: ShardContext;
  /** Ends that are hidden from their callers, with the local monotonic time of the end. */
  readonly #hidden = new Map<RequestRecord, number>();
  readonly #pending = new Map<number, PendingWrite>();
  /** Requests whose last write is not confirmed. */
  readonly #writing = new Set<RequestRecord>();
  /** Requests whose last write failed. */
  readonly #unwritten = new Set<RequestRecord>();
  #lastRewriteAt = -Infinity;
  #nextTicket = firstTicket;

  /** @param context - what the parts of the shard share */
  public constructor(context: ShardContext) {
    this.#context = context;
  }

  /**
   * Writes an end. Until the journal has it, a new owner could start the request again.
   *
   * @param record - the request that ended
   */
  public writeCompletion(record: RequestRecord): void {
    record.markCompletionPending();
    this.#hidden.set(record, this.#context.clock.now());
    this.#write(record);
  }

  /**
   * Writes that a request was cancelled whose tasks still have to stop.
   *
   * @param record - the request
   */
  public writeCancellation(record: RequestRecord): void {
    this.#write(record);
  }

  /**
   * Checks whether the last write for a request is under way.
   *
   * @param record - the request
   * @returns false once it is confirmed or failed
   */
  public isWriting(record: RequestRecord): boolean {
    return this.#writing.has(record);
  }

  /** Requests that were cancelled and whose cancellation the journal does not certainly have. */
  public get unwrittenCancellations(): readonly RequestRecord[] {
    return [...new Set([...this.#writing, ...this.#unwritten])].filter(
      ({ state, stopPlan }) => state === 'cancelled' || stopPlan?.next === 'cancelled',
    );
  }

  /**
   * Applies the result of a write.
   *
   * @param ticket - ticket of the commit
   * @param failure - why the entry is not in the journal, unless it is
   * @returns false if the ticket does not belong to an end or a cancellation
   */
  public applyCommitResult(ticket: number, failure?: Failure): boolean {
    if (ticket < pairTicket) return false;
    const write = this.#pending.get(ticket);
    this.#pending.delete(ticket);
    if (write === undefined) return true;
    const { record, isEnd } = write;
    this.#writing.delete(record);
    if (failure !== undefined) this.#unwritten.add(record);
    if (isEnd && failure === undefined) {
      record.confirmCompletion();
      record.dropCommand();
      this.#unwritten.delete(record);
    } else if (isEnd) this.#revealResult(record);
    if (!record.isCompletionPending) this.#hidden.delete(record);
    this.#context.emit({ effect: 'changed', requestId: record.id });
    return true;
  }

  /** Shows results whose commit takes long, because the store may not answer at all; writes again. */
  public tick(): void {
    const now = this.#context.clock.now();
    this.#revealOverdue(now);
    if (this.#unwritten.size === 0 || now - this.#lastRewriteAt < rewriteMs) return;
    this.#lastRewriteAt = now;
    const unwritten = [...this.#unwritten];
    this.#unwritten.clear();
    for (const record of unwritten) this.#write(record);
  }

  /**
   * Without the store the caller gets a result that exists, but no claim that nothing will run: a later
   * owner that does not find the end would start the request again.
   */
  #revealResult(record: RequestRecord): void {
    if (record.ran !== 'no' && record.state !== 'cancelled') record.confirmCompletion();
  }

  #revealOverdue(now: number): void {
    for (const [record, endedAt] of this.#hidden) {
      // The others ended later.
      if (now - endedAt < resultPatienceMs) return;
      this.#revealResult(record);
      if (record.isCompletionPending) continue;
      this.#hidden.delete(record);
      this.#context.emit({ effect: 'changed', requestId: record.id });
    }
  }

  #write(record: RequestRecord): void {
    const { clock, emit } = this.#context;
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    this.#pending.set(ticket, { record, isEnd: record.isFinished });
    this.#writing.add(record);
    if (!record.isAccepted) {
      emit({ effect: 'commit', ticket: pairTicket, entry: createAcceptedEntry(record, clock) });
    }
    const atMs = clock.wallTime();
    const entry: JournalEntry = record.isFinished
      ? { entry: 'finished', view: record.describeActual(), atMs }
      : { entry: 'cancelled', requestId: record.id, atMs };
    emit({ effect: 'commit', ticket, entry });
  }
}
