import {
  validators,
  type Failure,
  type JournalEntry,
  type JournalSegment,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import { periods } from './periods.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';
import { validateValue } from './validateValue.js';

/** Size above which a segment is closed, in characters. */
const maxSegmentLength = 65_536;

/** An entry that waits for its group commit. */
interface PendingEntry {
  readonly entry: JournalEntry;
  readonly resolve: (result: Result<void, Failure>) => void;
}

/** Journal of one shard in the store, written by group commit under one ownership. */
export class Journal {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #shard: string;
  readonly #epoch: number;
  #segment = 0;
  #version = 0;
  #entries: readonly JournalEntry[] = [];
  #pending: readonly PendingEntry[] = [];
  #writing = false;

  /**
   * @param store - the platform's store
   * @param clock - source of time
   * @param random - source of write tokens
   * @param shard - name of the shard
   * @param epoch - epoch of this ownership
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
  }

  /**
   * Takes the journal over. The newest segment is rewritten and a new one is created, so that each
   * further commit of the previous owner fails.
   *
   * @returns the entries of all segments, oldest first, or a store failure
   */
  public async open(): Promise<Result<readonly JournalEntry[], Failure>> {
    const values = await this.#store.list(`journal/${this.#shard}/`);
    if (values.isErr()) return err(values.error);
    const segments: { readonly version: number; readonly content: JournalSegment }[] = [];
    for (const { value, version } of values.value) {
      const data: unknown = JSON.parse(value ?? 'null');
      const parsed = validateValue(validators.JournalSegment, data, 'internal');
      if (parsed.isErr()) return err(parsed.error);
      segments.push({ version, content: parsed.value });
    }
    segments.sort((left, right) => left.content.segment - right.content.segment);
    const newest = segments.at(-1);
    if (newest !== undefined) {
      this.#segment = newest.content.segment;
      this.#version = newest.version;
      const fenced = await this.#write(newest.content.entries);
      if (fenced.isErr()) return err(fenced.error);
    }
    const rolled = await this.#rollOver([]);
    if (rolled.isErr()) return err(rolled.error);
    return ok(segments.flatMap(({ content }) => content.entries));
  }

  /**
   * Appends an entry with the next group commit.
   *
   * @param entry - the entry
   * @returns nothing once the entry is in the store; a failure if it is not
   */
  public append(entry: JournalEntry): Promise<Result<void, Failure>> {
    return new Promise((resolve) => {
      this.#pending = [...this.#pending, { entry, resolve }];
      if (!this.#writing) void this.#commitAll();
    });
  }

  async #commitAll(): Promise<void> {
    this.#writing = true;
    while (this.#pending.length > 0) {
      await this.#clock.sleep(periods.groupCommitMs);
      const batch = this.#pending;
      this.#pending = [];
      const result = await this.#commit(batch.map(({ entry }) => entry));
      for (const { resolve } of batch) resolve(result);
    }
    this.#writing = false;
  }

  async #commit(added: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const entries = [...this.#entries, ...added];
    const isFull = JSON.stringify(entries).length > maxSegmentLength && this.#entries.length > 0;
    return isFull ? this.#rollOver(added) : this.#write(entries);
  }

  async #rollOver(entries: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const former = { segment: this.#segment, version: this.#version, entries: this.#entries };
    this.#segment += 1;
    this.#version = 0;
    const result = await this.#write(entries);
    if (result.isErr()) {
      this.#segment = former.segment;
      this.#version = former.version;
      this.#entries = former.entries;
    }
    return result;
  }

  async #write(entries: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    const key = `journal/${this.#shard}/${String(this.#segment).padStart(10, '0')}`;
    const token = this.#random.token();
    const content: JournalSegment = {
      shard: this.#shard,
      epoch: this.#epoch,
      segment: this.#segment,
      token,
      entries,
    };
    const written = await this.#store.write(key, JSON.stringify(content), this.#version);
    if (written.isOk()) {
      this.#version = written.value;
      this.#entries = entries;
      return ok(undefined);
    }
    if (written.error.kind !== 'timeout') return err(written.error);
    return this.#settle(key, token, entries);
  }

  /** Settles a write whose response was lost by reading back. */
  async #settle(
    key: string,
    token: string,
    entries: readonly JournalEntry[],
  ): Promise<Result<void, Failure>> {
    const current = await this.#store.read(key);
    if (current.isErr()) {
      return err(createFailure('storeUnavailable', 'the result of a journal write is unknown'));
    }
    if (current.value.value?.includes(token) !== true) {
      return err(createFailure('storeUnavailable', 'the journal write did not happen'));
    }
    this.#version = current.value.version;
    this.#entries = entries;
    return ok(undefined);
  }
}
