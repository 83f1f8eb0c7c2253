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

/** Maximum number of compare-and-swap attempts to write the allotments. */
const maxAttempts = 6;

/** Services that a takeover uses. */
interface TakeoverDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly invariant: Invariant;
  /** Name of this process. */
  readonly process: string;
  /** Link address of this process. */
  readonly address: string;
}

/** Justification of a takeover: an operator's declaration, or the release delay that expired on both sides. */
type TakeoverReason =
  | { readonly reason: 'declaration'; readonly dataCentre: string }
  | {
      readonly reason: 'time';
      /** Queues to take over. */
      readonly queues: ReadonlySet<string>;
      /** Epoch in the store while the time was counted. */
      readonly epoch: number;
      /** Epoch of the owner that released the queues. */
      readonly formerEpoch: number;
      /** Version of the release terms while the time was counted. */
      readonly termsVersion: number;
    };

/**
 * Takes over the work of one shard of a lost data centre. The claim on the shard is held during the takeover. This
 * fences the previous owner, and a returning owner can acquire the claim only after the takeover is recorded.
 */
export class ShardTakeover {
  readonly #dependencies: TakeoverDependencies;
  readonly #shard: string;
  readonly #claimManager: ClaimManager;
  readonly #editor: TakeoverEditor;

  /**
   * @param dependencies - services to use
   * @param shard - shard of the lost data centre
   */
  public constructor(dependencies: TakeoverDependencies, shard: string) {
    this.#dependencies = dependencies;
    this.#shard = shard;
    const owner = `${ClaimManager.takeoverPrefix}${dependencies.process}`;
    this.#claimManager = new ClaimManager(dependencies, shard, owner, dependencies.address);
    this.#editor = new TakeoverEditor(dependencies);
  }

  /**
   * Takes over the work of the shard.
   *
   * @param reason - justification of the takeover
   * @param successors - shards that get the requests, at least one
   * @returns the takeover; `notOwner` if the shard has an owner or the justification is no longer valid; `noOwner`
   * if no successor holds its claim; `timeout` if the claim expired; or another failure of the store
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
      const detail = `${count} requests, ${reason.reason === 'declaration' ? "an operator's declaration" : `release delay expired for ${[...reason.queues].join(', ')}`}`;
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
    if (isStale)
      return err(
        createFailure(
          'notOwner',
          `the shard ${this.#shard} had an owner again, or its release terms changed or are unreadable`,
        ),
      );
    const journal = new Journal(store, clock, random, this.#shard, epoch);
    const entries = await journal.open();
    if (entries.isErr()) return err(entries.error);
    const takeoverIndex = await this.#editor.read();
    if (takeoverIndex.isErr()) return err(takeoverIndex.error);
    const claimed = await this.#selectClaimed(successors);
    if (claimed.length === 0) return err(createFailure('noOwner', 'no successor holds its claim'));
    if (reason.reason === 'declaration') {
      if (!takeoverIndex.value.isPending(reason.dataCentre, this.#shard, clock.wallTime())) {
        return err(
          createFailure(
            'notOwner',
            'the work was already taken over, or the declaration is no longer in effect',
          ),
        );
      }
      const freedAllotments = await this.#freeAllotments(epoch);
      if (freedAllotments.isErr()) return err(freedAllotments.error);
    }
    const takeover = this.#plan(epoch, reason, claimed, entries.value, takeoverIndex.value);
    // Once this claim may have expired, a new owner could acquire it without seeing the takeover.
    if (this.#claimManager.state !== 'confirmed') {
      return err(createFailure('timeout', 'the takeover took longer than its claim'));
    }
    const dataCentre = reason.reason === 'declaration' ? reason.dataCentre : undefined;
    return (await this.#editor.addTakeover(takeover, claimed, dataCentre)).map(() => takeover);
  }

  /** Selects the successors that hold their claim; others may not reach the store and would miss the assignment. */
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
    takeoverIndex: TakeoverIndex,
  ): Takeover {
    const isTime = reason.reason === 'time';
    return planTakeover({
      shard: this.#shard,
      epoch,
      formerEpoch: isTime ? reason.formerEpoch : epoch - 1,
      queues: isTime ? reason.queues : undefined,
      entries,
      takeoverIndex,
      successors,
      wallMs: this.#dependencies.clock.wallTime(),
    });
  }

  /** Checks that no owner claimed the shard and that its release terms did not change while the time was counted. */
  async #isStillValid(
    epoch: number,
    reason: Extract<TakeoverReason, { readonly reason: 'time' }>,
  ): Promise<boolean> {
    const terms = new ReleaseTermsManager(this.#dependencies, this.#shard);
    const read = await terms.read();
    return read.isOk() && terms.version === reason.termsVersion && epoch === reason.epoch + 1;
  }

  /** Returns the allotments of the shard to the pool. Late writes of its previous owner fail. */
  async #freeAllotments(epoch: number): Promise<Result<void, Failure>> {
    const { store, random, invariant } = this.#dependencies;
    let lastFailure = createFailure('storeConflict', 'the allotments change too often');
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
      lastFailure = written.error;
    }
    return err(lastFailure);
  }
}
