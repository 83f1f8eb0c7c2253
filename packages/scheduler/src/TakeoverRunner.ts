import {
  CutOffWatch,
  parseRecord,
  PledgeKeeper,
  ShardTakeover,
  TakeoverBook,
  TakeoverEditor,
  type Policy,
  type Router,
} from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import { validators } from '@toucanline/schema';

const pollMs = 1000;
/** Silence after which the store is asked whether a shard still has an owner, in milliseconds. */
const silenceMs = 5000;
/** Time for others to take the work of a declared data centre over before its own owners go on. */
const yieldMs = 30_000;

/** What the runner uses of the scheduler. */
interface RunnerParts {
  readonly runtime: ProcessRuntime;
  readonly router: Router;
  readonly address: string;
  readonly readPolicy: () => Policy | undefined;
  /** Whether this process owns a shard with a confirmed claim, so that it is not cut off itself. */
  readonly isConnected: () => boolean;
  /** Called after each read of the record. */
  readonly onBook: (book: TakeoverBook) => void;
}

/** Follows the record of takeovers and takes work of lost data centres over. */
export class TakeoverRunner {
  readonly #parts: RunnerParts;
  readonly #editor: TakeoverEditor;
  readonly #watches = new Map<string, CutOffWatch>();
  #book = new TakeoverBook();
  /** First sight of the newest word about the own data centre. */
  #word: { readonly generation: number; readonly seenAt: number } | undefined;

  /** @param parts - what the runner uses of the scheduler */
  public constructor(parts: RunnerParts) {
    this.#parts = parts;
    this.#editor = new TakeoverEditor(parts.runtime);
  }

  /** The record as it was last read. */
  public get book(): TakeoverBook {
    return this.#book;
  }

  /**
   * Checks whether an owner of this data centre has to let others take its work over.
   *
   * @param shard - its shard
   * @returns true until the work was taken over, for a bounded time
   */
  public mustYield(shard: string): boolean {
    const { runtime } = this.#parts;
    if (!this.#book.isPending(runtime.settings.dataCentre, shard)) return false;
    return runtime.clock.now() - (this.#word?.seenAt ?? -Infinity) < yieldMs;
  }

  /**
   * Runs until the process stops.
   *
   * @param isWanted - asked before each round
   */
  public async run(isWanted: () => boolean): Promise<void> {
    const { clock } = this.#parts.runtime;
    while (isWanted()) {
      const book = await this.#editor.read();
      if (book.isOk()) {
        this.#applyBook(book.value);
        await this.#checkShards();
      }
      await clock.sleep(pollMs);
    }
  }

  #applyBook(book: TakeoverBook): void {
    const { runtime, onBook } = this.#parts;
    this.#book = book;
    const word = book.findWord(runtime.settings.dataCentre);
    if (word !== undefined && word.generation !== this.#word?.generation) {
      this.#word = { generation: word.generation, seenAt: runtime.clock.now() };
    }
    onBook(book);
  }

  async #checkShards(): Promise<void> {
    const { readPolicy, runtime, isConnected, router } = this.#parts;
    const policy = readPolicy();
    if (policy === undefined || !isConnected()) return;
    for (const shard of policy.shards) {
      const dataCentre = policy.findDataCentre(shard) ?? '';
      if (dataCentre === runtime.settings.dataCentre) continue;
      const heirs = this.#listHeirs(policy, dataCentre);
      if (heirs.length === 0) continue;
      if (this.#book.isPending(dataCentre, shard)) await this.#takeByWord(shard, dataCentre, heirs);
      else if (router.findLoad(shard, silenceMs) === undefined) await this.#watch(shard, heirs);
      else this.#watches.delete(shard);
    }
  }

  /** Shards of other data centres with a live owner. */
  #listHeirs(policy: Policy, lost: string): readonly string[] {
    const { router } = this.#parts;
    return policy.shards.filter((shard) => {
      const dataCentre = policy.findDataCentre(shard) ?? '';
      const isLost = dataCentre === lost || this.#book.isPending(dataCentre, shard);
      return !isLost && router.findLoad(shard, silenceMs) !== undefined;
    });
  }

  async #takeByWord(shard: string, dataCentre: string, heirs: readonly string[]): Promise<void> {
    await this.#take(shard, { reason: 'word', dataCentre }, heirs);
  }

  /** Counts the time for which a silent shard has no claim in the store. */
  async #watch(shard: string, heirs: readonly string[]): Promise<void> {
    const { runtime } = this.#parts;
    const pledge = new PledgeKeeper(runtime, shard);
    const holder = await runtime.store.read(`owners/${shard}`);
    const claim = await runtime.store.read(`claims/${shard}`);
    const read = await pledge.read();
    if (holder.isErr() || claim.isErr() || read.isErr()) return;
    const parsed = parseRecord(validators.Claim, claim.value.value ?? 'null');
    if (parsed.isErr()) return;
    const { epoch } = parsed.value;
    const formerEpoch = this.#book.findFormerEpoch(shard, epoch) ?? epoch;
    const watch = this.#watches.get(shard) ?? new CutOffWatch();
    this.#watches.set(shard, watch);
    const due = watch.observe(
      {
        isClaimed: holder.value.version !== 0,
        epoch: formerEpoch,
        pledgeVersion: pledge.version,
        pledged: pledge.pledged,
      },
      runtime.clock.now(),
    );
    const taken = this.#book.listTakenQueues(shard, formerEpoch);
    if (taken === undefined) return;
    const queues = new Set([...due].filter((queue) => !taken.has(queue)));
    if (queues.size === 0) return;
    const pledgeVersion = pledge.version;
    await this.#take(shard, { reason: 'time', queues, epoch, formerEpoch, pledgeVersion }, heirs);
  }

  async #take(
    shard: string,
    reason: Parameters<ShardTakeover['run']>[0],
    heirs: readonly string[],
  ): Promise<void> {
    const { runtime, address } = this.#parts;
    const { settings, store, clock, random, recorder, invariant } = runtime;
    const { process } = settings;
    const parts = { store, clock, random, recorder, invariant, process, address };
    const result = await new ShardTakeover(parts, shard).run(reason, heirs);
    if (result.isErr() && result.error.kind !== 'notOwner') {
      const { detail } = result.error;
      runtime.log.write('warn', 'cannot take the work of a shard over', { shard, detail });
    }
    const book = await this.#editor.read();
    if (book.isOk()) this.#applyBook(book.value);
  }
}
