import type { Failure, JournalEntry } from '@toucanline/schema';
import { createAcceptedEntry } from './createAcceptedEntry.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/** First ticket for completions and cancellations; higher than any ticket of an acceptance. */
const firstCompletionTicket = 2 ** 40;
/** Ticket of an acceptance that is written together with a completion; the result of the latter counts for both. */
const pairedAcceptanceTicket = firstCompletionTicket - 1;
/** Time after which the outcome is shown to callers although its commit is not confirmed. */
const revealDelayMs = 2000;
/** Interval between attempts to repeat failed writes. */
const rewriteIntervalMs = 1000;

/** A write whose result is not known yet. */
interface PendingWrite {
  readonly record: RequestRecord;
  readonly isCompletion: boolean;
}

/** Writes completions and cancellations of requests to the journal, and hides completions until they are committed. */
export class CompletionWriter {
  readonly #context: ShardContext;
  /** Requests whose completion is hidden from callers, with the monotonic time of the completion in milliseconds. */
  readonly #hiddenSince = new Map<RequestRecord, number>();
  readonly #pendingWrites = new Map<number, PendingWrite>();
  /** Requests whose last write is in progress. */
  readonly #writing = new Set<RequestRecord>();
  /** Requests whose last write failed. */
  readonly #unwritten = new Set<RequestRecord>();
  #lastRewriteAt = -Infinity;
  #nextTicket = firstCompletionTicket;

  /** @param context - identity and services that the components of the shard share */
  public constructor(context: ShardContext) {
    this.#context = context;
  }

  /**
   * Writes the completion of a request. Until it is committed, a new owner could start the request again.
   *
   * @param record - the finished request
   */
  public writeCompletion(record: RequestRecord): void {
    record.markCompletionPending();
    this.#hiddenSince.set(record, this.#context.clock.now());
    this.#write(record);
  }

  /**
   * Writes the cancellation of a request whose tasks still have to stop.
   *
   * @param record - the request
   */
  public writeCancellation(record: RequestRecord): void {
    this.#write(record);
  }

  /**
   * Checks whether the last write for a request is in progress.
   *
   * @param record - the request
   * @returns false once the write succeeded or failed
   */
  public isWriting(record: RequestRecord): boolean {
    return this.#writing.has(record);
  }

  /** Cancelled requests whose cancellation may be missing from the journal. */
  public get unwrittenCancellations(): readonly RequestRecord[] {
    return [...new Set([...this.#writing, ...this.#unwritten])].filter(
      ({ state, stopPlan }) => state === 'cancelled' || stopPlan?.next === 'cancelled',
    );
  }

  /**
   * Applies the result of a commit.
   *
   * @param ticket - ticket of the commit
   * @param failure - reason why the entry is not in the journal; undefined if it is
   * @returns false if the ticket does not belong to a completion or a cancellation
   */
  public applyCommitResult(ticket: number, failure?: Failure): boolean {
    if (ticket < pairedAcceptanceTicket) return false;
    const write = this.#pendingWrites.get(ticket);
    this.#pendingWrites.delete(ticket);
    if (write === undefined) return true;
    const { record, isCompletion } = write;
    this.#writing.delete(record);
    if (failure !== undefined) this.#unwritten.add(record);
    if (isCompletion && failure === undefined) {
      record.confirmCompletion();
      record.dropCommand();
      this.#unwritten.delete(record);
    } else if (isCompletion) this.#revealResult(record);
    if (!record.isCompletionPending) this.#hiddenSince.delete(record);
    this.#context.emit({ effect: 'changed', requestId: record.id });
    return true;
  }

  /** Reveals outcomes whose commit takes too long, since the store may not answer at all, and repeats failed writes. */
  public tick(): void {
    const now = this.#context.clock.now();
    this.#revealOverdue(now);
    if (this.#unwritten.size === 0 || now - this.#lastRewriteAt < rewriteIntervalMs) return;
    this.#lastRewriteAt = now;
    const unwritten = [...this.#unwritten];
    this.#unwritten.clear();
    for (const record of unwritten) this.#write(record);
  }

  /**
   * Shows an outcome without a commit, unless it states that the request did not run or was cancelled: a
   * later owner that does not find the completion in the journal would start the request again.
   */
  #revealResult(record: RequestRecord): void {
    if (record.ran !== 'no' && record.state !== 'cancelled') record.confirmCompletion();
  }

  #revealOverdue(now: number): void {
    for (const [record, endedAt] of this.#hiddenSince) {
      // Entries are in the order of completion, so the remaining ones are more recent.
      if (now - endedAt < revealDelayMs) return;
      this.#revealResult(record);
      if (record.isCompletionPending) continue;
      this.#hiddenSince.delete(record);
      this.#context.emit({ effect: 'changed', requestId: record.id });
    }
  }

  #write(record: RequestRecord): void {
    const { clock, emit } = this.#context;
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    this.#pendingWrites.set(ticket, { record, isCompletion: record.isFinished });
    this.#writing.add(record);
    if (!record.isAccepted) {
      emit({
        effect: 'commit',
        ticket: pairedAcceptanceTicket,
        entry: createAcceptedEntry(record, clock),
      });
    }
    const atMs = clock.wallTime();
    const entry: JournalEntry = record.isFinished
      ? { entry: 'finished', view: record.describeActual(), atMs }
      : { entry: 'cancelled', requestId: record.id, atMs };
    emit({ effect: 'commit', ticket, entry });
  }
}
