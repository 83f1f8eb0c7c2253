import {
  validators,
  type Failure,
  type JournalEntry,
  type JournalHead,
  type JournalSegment,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { compactEntries } from './compactEntries.js';
import { createFailure } from './createFailure.js';
import { JournalWriter } from './JournalWriter.js';
import { parseRecord } from './parseRecord.js';
import { periods } from './periods.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';

/** Length of a segment in characters above which a new one is started. */
const maxSegmentLength = 65_536;
/** Maximum number of segments that a superseded owner is expected to create after the segments were listed. */
const maxOccupiedNumbers = 8;

/** An entry that waits for its group commit. */
interface PendingEntry {
  readonly entry: JournalEntry;
  readonly resolve: (result: Result<void, Failure>) => void;
}

/** One stored segment. */
interface Segment {
  readonly number: number;
  readonly version: number;
  readonly entries: readonly JournalEntry[];
}

const measureJson = (value: unknown): number => JSON.stringify(value).length;

/** Splits entries into batches that each fit into a segment. */
const splitEntries = (entries: readonly JournalEntry[]): readonly (readonly JournalEntry[])[] => {
  const batches: JournalEntry[][] = [[]];
  let length = 0;
  for (const entry of entries) {
    const added = measureJson(entry);
    if (length > 0 && length + added > maxSegmentLength) {
      batches.push([]);
      length = 0;
    }
    batches.at(-1)?.push(entry);
    length += added;
  }
  return batches;
};

/**
 * Journal of one shard in the store, written with group commits by one owner.
 *
 * The head record lists the segments that belong to the journal. A commit rewrites the newest segment with
 * compare-and-swap. A new segment becomes part of the journal only when the head lists it, which is also a
 * compare-and-swap. A new owner rewrites the newest segment and the head, so a superseded owner can commit to
 * neither, and segments that it still creates never become part of the journal.
 */
export class Journal {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #shard: string;
  readonly #epoch: number;
  readonly #writer: JournalWriter;
  #headVersion = 0;
  #segments: readonly Segment[] = [];
  /** Stored segments that the head did not list when it was read. */
  #orphans: readonly Segment[] = [];
  /** Highest segment number seen. Numbers are never reused, so a delayed deletion cannot remove a newer segment. */
  #highestNumber = 0;
  #pendingEntries: readonly PendingEntry[] = [];
  #isCommitting = false;
  /** False until the journal is taken over, because commits would race with the compaction. */
  #isOpen = false;

  /**
   * @param store - the platform's store
   * @param clock - source of time
   * @param random - source of write tokens
   * @param shard - name of the shard
   * @param epoch - epoch of this owner
   */
  public constructor(
    store: Store,
    clock: Clock,
    random: RandomSource,
    shard: string,
    epoch: number,
  ) {
    this.#store = store;
    this.#clock = clock;
    this.#random = random;
    this.#shard = shard;
    this.#epoch = epoch;
    this.#writer = new JournalWriter(store, clock);
  }

  /** Number of segments that belong to the journal. */
  public get segmentCount(): number {
    return this.#segments.length;
  }

  /** Whether a commit is in progress. */
  public get isBusy(): boolean {
    return this.#isCommitting;
  }

  /** Closes the journal. Writes whose result is unknown are no longer repeated. */
  public close(): void {
    this.#writer.close();
  }

  /**
   * Takes over the journal: fences the previous owner, compacts the entries into new segments and deletes
   * the old ones.
   *
   * @returns the entries that are still needed, oldest first; or the failure of the store
   */
  public async open(): Promise<Result<readonly JournalEntry[], Failure>> {
    const head = await this.#readHead();
    if (head.isErr()) return err(head.error);
    const segments = await this.#readSegments(head.value);
    if (segments.isErr()) return err(segments.error);
    this.#segments = segments.value;
    const newest = this.#segments.at(-1);
    if (newest !== undefined) {
      const fenced = await this.#writeSegment(newest.number, newest.entries, newest.version);
      if (fenced.isErr()) return err(fenced.error);
    }
    const compacted = await this.#compact([]);
    if (compacted.isErr()) return err(compacted.error);
    this.#isOpen = true;
    // Previous owners can no longer write the head, so these segments cannot become part of the journal.
    void this.#deleteSegments(this.#orphans);
    return ok(this.#segments.flatMap(({ entries }) => entries));
  }

  /**
   * Appends an entry with the next group commit.
   *
   * @param entry - entry to append
   * @returns nothing once the entry is committed; `outcomeUnknown` if it may be, or may still become, part of
   * the journal; another failure if it certainly is not
   */
  public append(entry: JournalEntry): Promise<Result<void, Failure>> {
    return new Promise((resolve) => {
      this.#pendingEntries = [...this.#pendingEntries, { entry, resolve }];
      if (!this.#isCommitting) void this.#commitAll();
    });
  }

  async #commitAll(): Promise<void> {
    this.#isCommitting = true;
    while (this.#pendingEntries.length > 0) {
      await this.#clock.sleep(periods.groupCommitMs);
      const batch = this.#pendingEntries;
      this.#pendingEntries = [];
      const result = await this.#commit(batch.map(({ entry }) => entry)).catch((error: unknown) =>
        err(createFailure('outcomeUnknown', `unexpected error: ${String(error)}`)),
      );
      for (const { resolve } of batch) resolve(result);
    }
    this.#isCommitting = false;
  }

  async #commit(added: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const newest = this.#segments.at(-1);
    if (!this.#isOpen || newest === undefined || this.#writer.isClosed) {
      return err(createFailure('storeUnavailable', 'the journal is not open'));
    }
    const entries = [...newest.entries, ...added];
    const isFull = newest.entries.length > 0 && measureJson(entries) > maxSegmentLength;
    if (isFull) return this.#rollOver(added);
    const written = await this.#writeSegment(newest.number, entries, newest.version);
    if (written.isErr()) return err(written.error);
    this.#segments = [...this.#segments.slice(0, -1), written.value];
    return ok(undefined);
  }

  /** Continues in a new segment, or compacts the journal if at most half of its entries are still needed. */
  async #rollOver(added: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const all = this.#segments.flatMap(({ entries }) => entries);
    const kept = compactEntries(all, this.#clock.wallTime());
    if (kept.length * 2 <= all.length) return this.#compact(added);
    return this.#addSegments(this.#segments, splitEntries(added));
  }

  async #compact(added: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const previous = this.#segments;
    const all = [...previous.flatMap(({ entries }) => entries), ...added];
    const batches = splitEntries(compactEntries(all, this.#clock.wallTime()));
    const result = await this.#addSegments([], batches);
    if (result.isOk()) void this.#deleteSegments(previous);
    return result;
  }

  /** Creates segments and then lists them in the head. Until then they have no effect. */
  async #addSegments(
    kept: readonly Segment[],
    batches: readonly (readonly JournalEntry[])[],
  ): Promise<Result<void, Failure>> {
    const created: Segment[] = [];
    let next = this.#highestNumber + 1;
    for (const entries of batches) {
      const segment = await this.#createSegment(next, entries);
      if (segment.isErr()) {
        const { kind, detail } = segment.error;
        return err(createFailure(kind, `cannot create a journal segment: ${detail}`));
      }
      created.push(segment.value);
      this.#highestNumber = segment.value.number;
      next = this.#highestNumber + 1;
    }
    const segments = [...kept, ...created];
    const head = await this.#writeHead(segments);
    if (head.isErr()) return err(head.error);
    this.#segments = segments;
    return ok(undefined);
  }

  async #createSegment(
    number: number,
    entries: readonly JournalEntry[],
  ): Promise<Result<Segment, Failure>> {
    let result = await this.#writeSegment(number, entries, 0);
    for (let skipped = 1; skipped < maxOccupiedNumbers; skipped += 1) {
      if (result.isOk() || result.error.kind !== 'storeConflict') return result;
      result = await this.#writeSegment(number + skipped, entries, 0);
    }
    return result;
  }

  async #deleteSegments(segments: readonly Segment[]): Promise<void> {
    for (const { number } of segments) {
      const key = this.#createSegmentKey(number);
      const current = await this.#store.read(key);
      if (current.isErr() || current.value.version === 0) continue;
      await this.#store.write(key, undefined, current.value.version);
    }
  }

  async #readHead(): Promise<Result<JournalHead | undefined, Failure>> {
    const current = await this.#store.read(this.#headKey);
    if (current.isErr()) return err(current.error);
    this.#headVersion = current.value.version;
    if (current.value.value === undefined) return ok(undefined);
    return parseRecord(validators.JournalHead, current.value.value);
  }

  async #readSegments(head: JournalHead | undefined): Promise<Result<readonly Segment[], Failure>> {
    const values = await this.#store.list(`journal/${this.#shard}/`);
    if (values.isErr()) return err(values.error);
    const segments: Segment[] = [];
    const orphans: Segment[] = [];
    for (const { value, version } of values.value) {
      const parsed = parseRecord(validators.JournalSegment, value ?? 'null');
      if (parsed.isErr()) return err(parsed.error);
      const { segment, entries } = parsed.value;
      const isListed = head?.segments.includes(segment) === true;
      (isListed ? segments : orphans).push({ number: segment, version, entries });
    }
    segments.sort((left, right) => left.number - right.number);
    if (segments.length !== (head?.segments.length ?? 0)) {
      return err(
        createFailure('storeConflict', 'a journal segment was deleted while the journal was read'),
      );
    }
    this.#orphans = orphans;
    this.#highestNumber = Math.max(
      this.#highestNumber,
      ...[...segments, ...orphans].map(({ number }) => number),
    );
    return ok(segments);
  }

  async #writeHead(segments: readonly Segment[]): Promise<Result<void, Failure>> {
    const token = this.#random.token();
    const head: JournalHead = {
      shard: this.#shard,
      epoch: this.#epoch,
      token,
      segments: segments.map(({ number }) => number),
    };
    const text = JSON.stringify(head);
    const written = await this.#writer.write(this.#headKey, text, token, this.#headVersion);
    return written.map((version) => {
      this.#headVersion = version;
    });
  }

  async #writeSegment(
    number: number,
    entries: readonly JournalEntry[],
    ifVersion: number,
  ): Promise<Result<Segment, Failure>> {
    const token = this.#random.token();
    const content: JournalSegment = {
      shard: this.#shard,
      epoch: this.#epoch,
      segment: number,
      token,
      entries,
    };
    const key = this.#createSegmentKey(number);
    const written = await this.#writer.write(key, JSON.stringify(content), token, ifVersion);
    return written.map((version) => ({ number, version, entries }));
  }

  get #headKey(): string {
    return `journals/${this.#shard}`;
  }

  #createSegmentKey(number: number): string {
    return `journal/${this.#shard}/${String(number).padStart(10, '0')}`;
  }
}
