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
/** Number of shards of a data centre whose owners watch the record of takeovers. */
const maxWatchers = 2;
/** Maximum age of a load notice of a live successor. */
const maxLoadAgeMs = 5000;
/**
 * Interval of checking the claim of a shard whose owner sends load notices: the owner may be cut off from the store
 * alone. A shard without a claim is checked in each round.
 */
const claimCheckIntervalMs = 5000;
/** Time for other data centres to take over the work of one declared lost, before its own owners continue. */
const takeoverWaitMs = 30_000;

/** Dependencies of the coordinator. */
interface CoordinatorDependencies {
  readonly runtime: ProcessRuntime;
  readonly router: Router;
  readonly address: string;
  readonly readPolicy: () => Policy | undefined;
  /** Checks whether this process owns a shard under a confirmed claim, so that it is not cut off itself. */
  readonly hasConfirmedClaim: () => boolean;
  /** Checks whether this process owns the given shard. */
  readonly isOwnerOf: (shard: string) => boolean;
  /** Called in each round, and after each change of the record of takeovers. */
  readonly onIndex: (index: TakeoverIndex) => void;
}

/** Follows the record of takeovers, and starts takeovers of the work of lost data centres. */
export class TakeoverCoordinator {
  readonly #dependencies: CoordinatorDependencies;
  readonly #sync: TakeoverSync;
  readonly #releaseDetectors = new Map<string, ReleaseDetector>();
  readonly #claimCheckedAt = new Map<string, number>();
  /**
   * Newest declaration about the data centre of this process, and the local monotonic time when it was first seen.
   */
  #declaration: { readonly generation: number; readonly seenAt: number } | undefined;

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: CoordinatorDependencies) {
    this.#dependencies = dependencies;
    const { clock } = dependencies.runtime;
    this.#sync = new TakeoverSync({
      editor: new TakeoverEditor(dependencies.runtime),
      clock,
      isWatcher: () => this.#isWatcher,
      onChange: () => {
        this.#applyIndex();
      },
    });
  }

  /** Newest known record of takeovers; empty before the first read. */
  public get index(): TakeoverIndex {
    return this.#sync.current;
  }

  /** Announcement of the record of takeovers for peers. */
  public get announcement(): TakeoverSync['announcement'] {
    return this.#sync.announcement;
  }

  /**
   * Applies the announcement of the record of takeovers in a load notice.
   *
   * @param link - link to the peer
   * @param notice - load notice of the peer
   */
  public applyNotice(link: Link, { takeovers }: LoadNotice): void {
    if (takeovers === undefined || link.peer === undefined) return;
    this.#sync.applyAnnouncement(link.peer.process, takeovers, () => !link.isClosed);
  }

  /**
   * Checks whether an owner of this data centre has to wait until other data centres have taken its work over.
   *
   * @param shard - name of its shard
   * @returns true until the work was taken over, for at most 30 s after the declaration was seen
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
   * @param isWanted - called before each round; returning false ends the loop
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

  /**
   * Whether this process watches the record and the claims of other data centres; at most two of a data centre do.
   */
  get #isWatcher(): boolean {
    const { readPolicy, runtime, isOwnerOf } = this.#dependencies;
    const shards = readPolicy()?.listShards(runtime.settings.dataCentre) ?? [];
    return shards.slice(0, maxWatchers).some(isOwnerOf);
  }

  #applyIndex(): void {
    const { runtime, onIndex } = this.#dependencies;
    const { current: index } = this.#sync;
    const declaration = index.findDeclaration(runtime.settings.dataCentre);
    if (declaration !== undefined && declaration.generation !== this.#declaration?.generation) {
      this.#declaration = { generation: declaration.generation, seenAt: runtime.clock.now() };
    }
    onIndex(index);
  }

  async #checkShards(): Promise<void> {
    const { readPolicy, runtime, hasConfirmedClaim } = this.#dependencies;
    const policy = readPolicy();
    if (policy === undefined || !hasConfirmedClaim()) return;
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

  /**
   * Checks which shards have a claim, by one list of all claims: a single call, transferred only when a claim
   * changed.
   */
  async #checkClaims(due: ReadonlyMap<string, readonly string[]>): Promise<void> {
    const claims = await this.#dependencies.runtime.store.list(ownersPrefix);
    if (claims.isErr()) return;
    const claimed = new Set(claims.value.map(({ key }) => key));
    for (const [shard, successors] of due) {
      if (claimed.has(ownersPrefix + shard)) this.#releaseDetectors.delete(shard);
      else await this.#observeUnclaimed(shard, successors);
    }
  }

  /** Lists the shards of other data centres that are not lost and have a live owner. */
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

  /**
   * Observes a shard without a claim in the store, and takes over the queues whose release delay has passed
   * meanwhile.
   */
  async #observeUnclaimed(shard: string, successors: readonly string[]): Promise<void> {
    const { runtime } = this.#dependencies;
    const terms = new ReleaseTermsManager(runtime, shard);
    const claim = await runtime.store.read(`claims/${shard}`);
    const readResult = await terms.read();
    if (claim.isErr() || readResult.isErr()) return;
    const parsed = parseRecord(validators.Claim, claim.value.value ?? 'null');
    if (parsed.isErr()) return;
    const { epoch } = parsed.value;
    const formerEpoch = this.index.findFormerEpoch(shard, epoch) ?? epoch;
    const detector = this.#releaseDetectors.get(shard) ?? new ReleaseDetector();
    this.#releaseDetectors.set(shard, detector);
    const due = detector.observe(
      {
        isClaimed: false,
        epoch: formerEpoch,
        termsVersion: terms.version,
        published: terms.published,
      },
      runtime.clock.now(),
    );
    const takenOver = this.index.listTakenOverQueues(shard, formerEpoch);
    if (takenOver === undefined) return;
    const queues = new Set([...due].filter((queue) => !takenOver.has(queue)));
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
    const takeoverDependencies = { store, clock, random, recorder, invariant, process, address };
    const result = await new ShardTakeover(takeoverDependencies, shard).run(reason, successors);
    if (result.isErr() && result.error.kind !== 'notOwner') {
      const { detail } = result.error;
      runtime.log.write('warn', 'cannot take over the work of a shard', { shard, detail });
    }
    await this.#sync.refresh();
  }
}
