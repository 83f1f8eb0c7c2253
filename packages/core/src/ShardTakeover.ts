import { validators, type Failure, type JournalEntry, type Takeover } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { AllotmentEscrow } from './AllotmentEscrow.js';
import { ClaimManager } from './ClaimManager.js';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import { createRecordDecoder } from './createRecordDecoder.js';
import type { EventRecorder } from './EventRecorder.js';
import type { Invariant } from './Invariant.js';
import { Journal } from './Journal.js';
import { ReleaseTermsManager } from './ReleaseTermsManager.js';
import { planTakeover } from './planTakeover.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';
import type { TakeoverIndex } from './TakeoverIndex.js';
import { TakeoverEditor } from './TakeoverEditor.js';

const maxAttempts = 6;

/** What a takeover works with. */
interface TakeoverDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly invariant: Invariant;
  /** Name and link address of this process. */
  readonly process: string;
  readonly address: string;
}

/** The right to take work: an operator's declaration, or time that ran out on both sides. */
type TakeoverReason =
  | { readonly reason: 'declaration'; readonly dataCentre: string }
  | {
      readonly reason: 'time';
      readonly queues: ReadonlySet<string>;
      /** Epoch in the store for which the time was counted. */
      readonly epoch: number;
      readonly formerEpoch: number;
      readonly termsVersion: number;
    };

/**
 * Takes the work of one shard of a lost data centre over. It holds the claim on the shard for a moment:
 * that fences its former owner, and a returning owner claims it after the record says what was taken.
 */
export class ShardTakeover {
  readonly #dependencies: TakeoverDependencies;
  readonly #shard: string;
  readonly #claimManager: ClaimManager;
  readonly #editor: TakeoverEditor;

  /**
   * @param parts - what the takeover works with
   * @param shard - shard of the lost data centre
   */
  public constructor(parts: TakeoverDependencies, shard: string) {
    this.#dependencies = parts;
    this.#shard = shard;
    const owner = `${ClaimManager.takeoverPrefix}${parts.process}`;
    this.#claimManager = new ClaimManager(parts, shard, owner, parts.address);
    this.#editor = new TakeoverEditor(parts);
  }

  /**
   * Takes the work over.
   *
   * @param reason - the right to do so
   * @param successors - shards that get the requests, at least one
   * @returns the takeover; `notOwner` if the shard has an owner or the right does not hold any more
   */
  public async run(
    reason: TakeoverReason,
    successors: readonly string[],
  ): Promise<Result<Takeover, Failure>> {
    const claim = await this.#claimManager.acquire();
    if (claim.isErr()) return err(claim.error);
    const result = await this.#takeOverClaimed(claim.value.epoch, reason, successors);
    await this.#claimManager.release();
    if (result.isOk()) {
      const count = Object.keys(result.value.requests).length;
      const detail = `${count} requests, ${reason.reason === 'declaration' ? "an operator's declaration" : `time of ${[...reason.queues].join(', ')}`}`;
      const { epoch } = result.value;
      this.#dependencies.recorder.record('workTakenOver', { shard: this.#shard, epoch, detail });
    }
    return result;
  }

  async #takeOverClaimed(
    epoch: number,
    reason: TakeoverReason,
    successors: readonly string[],
  ): Promise<Result<Takeover, Failure>> {
    const { store, clock, random } = this.#dependencies;
    const isStale = reason.reason === 'time' && !(await this.#isStillValid(epoch, reason));
    if (isStale) return err(createFailure('notOwner', `an owner of ${this.#shard} was back`));
    const journal = new Journal(store, clock, random, this.#shard, epoch);
    const entries = await journal.open();
    if (entries.isErr()) return err(entries.error);
    const book = await this.#editor.read();
    if (book.isErr()) return err(book.error);
    const claimed = await this.#selectClaimed(successors);
    if (claimed.length === 0) return err(createFailure('noOwner', 'no successor holds its claim'));
    if (reason.reason === 'declaration') {
      if (!book.value.isPending(reason.dataCentre, this.#shard, clock.wallTime())) {
        return err(createFailure('notOwner', 'the work was taken over already'));
      }
      const freed = await this.#freeAllotments(epoch);
      if (freed.isErr()) return err(freed.error);
    }
    const takeover = this.#plan(epoch, reason, claimed, entries.value, book.value);
    // A new owner may claim the shard once this claim may have ended, and would not see the record.
    if (this.#claimManager.state !== 'confirmed') {
      return err(createFailure('timeout', 'the takeover outlasted its claim'));
    }
    const dataCentre = reason.reason === 'declaration' ? reason.dataCentre : undefined;
    return (await this.#editor.addTakeover(takeover, claimed, dataCentre)).map(() => takeover);
  }

  /** A successor that cannot reach the store would not learn what it was given. */
  async #selectClaimed(successors: readonly string[]): Promise<readonly string[]> {
    const holders = await Promise.all(
      successors.map((successor) => this.#dependencies.store.read(`owners/${successor}`)),
    );
    return successors.filter((_, index) => {
      const holder = holders[index];
      return holder?.isOk() === true && holder.value.version !== 0;
    });
  }

  #plan(
    epoch: number,
    reason: TakeoverReason,
    successors: readonly string[],
    entries: readonly JournalEntry[],
    book: TakeoverIndex,
  ): Takeover {
    const isTime = reason.reason === 'time';
    return planTakeover({
      shard: this.#shard,
      epoch,
      formerEpoch: isTime ? reason.formerEpoch : epoch - 1,
      queues: isTime ? reason.queues : undefined,
      entries,
      takeoverIndex: book,
      successors,
      wallMs: this.#dependencies.clock.wallTime(),
    });
  }

  /** Whether no owner claimed the shard and nothing else was promised while the time was counted. */
  async #isStillValid(
    epoch: number,
    reason: Extract<TakeoverReason, { readonly reason: 'time' }>,
  ): Promise<boolean> {
    const terms = new ReleaseTermsManager(this.#dependencies, this.#shard);
    const read = await terms.read();
    return read.isOk() && terms.version === reason.termsVersion && epoch === reason.epoch + 1;
  }

  /** Returns the allotments of the shard to the pool; late writes of its former owner fail. */
  async #freeAllotments(epoch: number): Promise<Result<void, Failure>> {
    const { store, random, invariant } = this.#dependencies;
    let last = createFailure('storeConflict', 'the allotments change too often');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const stored = await store.read('allotments');
      const record = stored.andThen(createRecordDecoder(validators.Allotments));
      if (stored.isErr() || record.isErr()) {
        return err(stored.isErr() ? stored.error : record._unsafeUnwrapErr());
      }
      if (record.value === undefined) return ok(undefined);
      const escrow = new AllotmentEscrow(this.#shard, epoch, invariant);
      escrow.applyRead(record.value, stored.value.version);
      const content = escrow.beginWrite(new Map(), random.token());
      const text = JSON.stringify(content);
      const written = await store.write('allotments', text, stored.value.version);
      if (written.isOk()) return ok(undefined);
      last = written.error;
    }
    return err(last);
  }
}
