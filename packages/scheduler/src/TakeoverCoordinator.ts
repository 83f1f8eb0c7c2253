import {
  ReleaseDetector,
  parseRecord,
  ReleaseTermsManager,
  ShardTakeover,
  TakeoverEditor,
  TakeoverSync,
  type Policy,
  type Router,
  type TakeoverIndex,
} from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import { validators, type LoadNotice } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';

const checkIntervalMs = 1000;
const ownersPrefix = 'owners/';
/** Shards of a data centre whose owners watch the record. */
const maxWatchers = 2;
/** Age above which a load notice of a successor does not count, in milliseconds. */
const maxLoadAgeMs = 5000;
/**
 * Interval of looking at the claim of a shard whose owner is heard of: it may be cut off from the store
 * alone. A shard without a claim is looked at in each round.
 */
const claimCheckIntervalMs = 5000;
/** Time for others to take the work of a declared data centre over before its own owners go on. */
const takeoverWaitMs = 30_000;

/** What the runner uses of the scheduler. */
interface CoordinatorDependencies {
  readonly runtime: ProcessRuntime;
  readonly router: Router;
  readonly address: string;
  readonly readPolicy: () => Policy | undefined;
  /** Whether this process owns a shard with a confirmed claim, so that it is not cut off itself. */
  readonly hasConfirmedClaim: () => boolean;
  /** Whether this process owns a shard. */
  readonly isOwnerOf: (shard: string) => boolean;
  /** Called in each round and after each change of the record. */
  readonly onIndex: (book: TakeoverIndex) => void;
}

/** Follows the record of takeovers and takes work of lost data centres over. */
export class TakeoverCoordinator {
  readonly #dependencies: CoordinatorDependencies;
  readonly #sync: TakeoverSync;
  readonly #releaseDetectors = new Map<string, ReleaseDetector>();
  readonly #claimCheckedAt = new Map<string, number>();
  /** First sight of the newest declaration about the own data centre. */
  #declaration: { readonly generation: number; readonly seenAt: number } | undefined;

  /** @param parts - what the runner uses of the scheduler */
  public constructor(parts: CoordinatorDependencies) {
    this.#dependencies = parts;
    const { clock } = parts.runtime;
    this.#sync = new TakeoverSync({
      editor: new TakeoverEditor(parts.runtime),
      clock,
      isWatcher: () => this.#isWatcher,
      onChange: () => {
        this.#applyIndex();
      },
    });
  }

  /** The newest known record. */
  public get index(): TakeoverIndex {
    return this.#sync.current;
  }

  /** What peers are told of the record. */
  public get announcement(): TakeoverSync['announcement'] {
    return this.#sync.announcement;
  }

  /**
   * Takes what a peer tells of the record.
   *
   * @param link - link to the peer
   * @param notice - its notice
   */
  public applyNotice(link: Link, { takeovers }: LoadNotice): void {
    if (takeovers === undefined || link.peer === undefined) return;
    this.#sync.applyAnnouncement(link.peer.process, takeovers, () => !link.isClosed);
  }

  /**
   * Checks whether an owner of this data centre has to let others take its work over.
   *
   * @param shard - its shard
   * @returns true until the work was taken over, for a bounded time
   */
  public isTakeoverPending(shard: string): boolean {
    const { runtime } = this.#dependencies;
    const wallMs = runtime.clock.wallTime();
    if (!this.index.isPending(runtime.settings.dataCentre, shard, wallMs)) return false;
    return runtime.clock.now() - (this.#declaration?.seenAt ?? -Infinity) < takeoverWaitMs;
  }

  /**
   * Runs until the process stops.
   *
   * @param isWanted - asked before each round
   */
  public async run(isWanted: () => boolean): Promise<void> {
    const { clock } = this.#dependencies.runtime;
    void this.#sync.run(isWanted);
    while (isWanted()) {
      if (this.#sync.isLoaded) {
        this.#applyIndex();
        await this.#checkShards();
      }
      await clock.sleep(checkIntervalMs);
    }
  }

  /** At most two processes of a data centre watch the record and the claims of other data centres. */
  get #isWatcher(): boolean {
    const { readPolicy, runtime, isOwnerOf: owns } = this.#dependencies;
    const shards = readPolicy()?.listShards(runtime.settings.dataCentre) ?? [];
    return shards.slice(0, maxWatchers).some(owns);
  }

  #applyIndex(): void {
    const { runtime, onIndex: onBook } = this.#dependencies;
    const { current: book } = this.#sync;
    const declaration = book.findDeclaration(runtime.settings.dataCentre);
    if (declaration !== undefined && declaration.generation !== this.#declaration?.generation) {
      this.#declaration = { generation: declaration.generation, seenAt: runtime.clock.now() };
    }
    onBook(book);
  }

  async #checkShards(): Promise<void> {
    const { readPolicy, runtime, hasConfirmedClaim: isConnected } = this.#dependencies;
    const policy = readPolicy();
    if (policy === undefined || !isConnected()) return;
    const due = new Map<string, readonly string[]>();
    for (const shard of policy.shards) {
      const dataCentre = policy.findDataCentre(shard) ?? '';
      if (dataCentre === runtime.settings.dataCentre) continue;
      const successors = this.#listSuccessors(policy, dataCentre);
      if (successors.length === 0) continue;
      const isLost = this.index.isPending(dataCentre, shard, runtime.clock.wallTime());
      if (isLost) await this.#takeOver(shard, { reason: 'declaration', dataCentre }, successors);
      else if (this.#isWatcher && this.#isCheckDue(shard)) due.set(shard, successors);
    }
    if (due.size > 0) await this.#checkClaims(due);
  }

  /** One list of all claims is a single call, and is transferred only when a claim changed. */
  async #checkClaims(due: ReadonlyMap<string, readonly string[]>): Promise<void> {
    const holders = await this.#dependencies.runtime.store.list(ownersPrefix);
    if (holders.isErr()) return;
    const claimed = new Set(holders.value.map(({ key }) => key));
    for (const [shard, successors] of due) {
      if (claimed.has(ownersPrefix + shard)) this.#releaseDetectors.delete(shard);
      else await this.#observeUnclaimed(shard, successors);
    }
  }

  /** Shards of other data centres with a live owner. */
  #listSuccessors(policy: Policy, lost: string): readonly string[] {
    const { router, runtime } = this.#dependencies;
    const wallMs = runtime.clock.wallTime();
    return policy.shards.filter((shard) => {
      const dataCentre = policy.findDataCentre(shard) ?? '';
      const isLost = dataCentre === lost || this.index.isPending(dataCentre, shard, wallMs);
      return !isLost && router.findLoad(shard, maxLoadAgeMs) !== undefined;
    });
  }

  #isCheckDue(shard: string): boolean {
    const { router, runtime } = this.#dependencies;
    const isCounting = this.#releaseDetectors.get(shard)?.epoch !== undefined;
    if (isCounting || router.findLoad(shard, maxLoadAgeMs) === undefined) return true;
    const now = runtime.clock.now();
    if (now - (this.#claimCheckedAt.get(shard) ?? -Infinity) < claimCheckIntervalMs) return false;
    this.#claimCheckedAt.set(shard, now);
    return true;
  }

  /** Counts the time for which a shard has no claim in the store. */
  async #observeUnclaimed(shard: string, successors: readonly string[]): Promise<void> {
    const { runtime } = this.#dependencies;
    const terms = new ReleaseTermsManager(runtime, shard);
    const claim = await runtime.store.read(`claims/${shard}`);
    const read = await terms.read();
    if (claim.isErr() || read.isErr()) return;
    const parsed = parseRecord(validators.Claim, claim.value.value ?? 'null');
    if (parsed.isErr()) return;
    const { epoch } = parsed.value;
    const formerEpoch = this.index.findFormerEpoch(shard, epoch) ?? epoch;
    const watch = this.#releaseDetectors.get(shard) ?? new ReleaseDetector();
    this.#releaseDetectors.set(shard, watch);
    const due = watch.observe(
      {
        isClaimed: false,
        epoch: formerEpoch,
        termsVersion: terms.version,
        published: terms.published,
      },
      runtime.clock.now(),
    );
    const taken = this.index.listTakenOverQueues(shard, formerEpoch);
    if (taken === undefined) return;
    const queues = new Set([...due].filter((queue) => !taken.has(queue)));
    if (queues.size === 0) return;
    const termsVersion = terms.version;
    await this.#takeOver(
      shard,
      { reason: 'time', queues, epoch, formerEpoch, termsVersion },
      successors,
    );
  }

  async #takeOver(
    shard: string,
    reason: Parameters<ShardTakeover['run']>[0],
    successors: readonly string[],
  ): Promise<void> {
    const { runtime, address } = this.#dependencies;
    const { settings, store, clock, random, recorder, invariant } = runtime;
    const { process } = settings;
    const parts = { store, clock, random, recorder, invariant, process, address };
    const result = await new ShardTakeover(parts, shard).run(reason, successors);
    if (result.isErr() && result.error.kind !== 'notOwner') {
      const { detail } = result.error;
      runtime.log.write('warn', 'cannot take the work of a shard over', { shard, detail });
    }
    await this.#sync.refresh();
  }
}
