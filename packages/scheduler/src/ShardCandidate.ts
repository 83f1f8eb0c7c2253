import { ClaimManager, type Policy, type Router, type WorkerGateway } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Claim, Failure, HandoverCall, HostRecord } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { ClaimTiming } from './ClaimTiming.js';
import { HandoverSender } from './HandoverSender.js';
import type { OwnershipBasis } from './OwnershipBasis.js';
import { RequestRelay } from './RequestRelay.js';
import { ShardRunner } from './ShardRunner.js';
import { SnapshotAssembler } from './SnapshotAssembler.js';
import { StoreAvailability } from './StoreAvailability.js';
import { queryHighestEpoch } from './queryHighestEpoch.js';
import { InterruptibleTimer } from './InterruptibleTimer.js';

/** How long an owner whose store lease expired tries to claim its shard again with its state, and how often. */
const reclaimTimeoutMs = 3000;
const reclaimIntervalMs = 100;
/**
 * Time in which a process that reaches the store claims a shard whose owner held a confirmed claim when it stopped:
 * the lease of the claim, in case its release was lost, and two attempts.
 */
const releasedClaimWaitMs = 5000;
/** Time without a majority of worker leases after which a provisional ownership is given up. */
const majorityLossTimeoutMs = 20_000;
const provisionalCheckIntervalMs = 500;

/** Parts of the process that a candidate uses. */
interface CandidateDependencies {
  readonly runtime: ProcessRuntime;
  readonly gateway: WorkerGateway;
  readonly router: Router;
  /** Reads the policy in effect. */
  readonly readPolicy: () => Policy | undefined;
  /** Reads the workers of the shard from the last host list. */
  readonly listWorkers: () => readonly HostRecord[] | undefined;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Called after the ownership began or ended. */
  readonly onChange: () => void;
  /** Whether another data centre takes the work of the shard over by an operator's declaration. */
  readonly isTakeoverPending: () => boolean;
}

/** Candidate for the ownership of one shard: claims it whenever nobody else does. */
export class ShardCandidate {
  readonly #dependencies: CandidateDependencies;
  readonly #shard: string;
  readonly #address: string;
  readonly #claimManager: ClaimManager;
  readonly #retryTimer: InterruptibleTimer;
  readonly #receivedSnapshot: SnapshotAssembler;
  readonly #handoverSender: HandoverSender;
  readonly #storeAvailability: StoreAvailability;
  readonly #timing: ClaimTiming;
  readonly #relay: RequestRelay;
  #runner: ShardRunner | undefined;
  #isRunning = true;
  /** Highest epoch that any message named. */
  #highestEpoch = 0;

  /**
   * @param parts - parts of the process
   * @param shard - name of the shard
   * @param address - link address of this process
   */
  public constructor(parts: CandidateDependencies, shard: string, address: string) {
    this.#dependencies = parts;
    this.#shard = shard;
    this.#address = address;
    const { runtime, router, listPeers } = parts;
    const { clock, random, settings } = runtime;
    const { process } = settings;
    this.#claimManager = new ClaimManager(runtime, shard, process, address);
    this.#retryTimer = new InterruptibleTimer(clock);
    this.#receivedSnapshot = new SnapshotAssembler(clock);
    this.#handoverSender = new HandoverSender(
      runtime,
      () => this.#claimManager.state === 'confirmed',
    );
    this.#storeAvailability = new StoreAvailability(clock);
    const shared = { clock, router, shard, process, listPeers };
    this.#timing = new ClaimTiming({
      ...shared,
      random,
      storeAvailability: this.#storeAvailability,
    });
    this.#relay = new RequestRelay({
      ...shared,
      readRunner: () => this.#runner,
      isRunning: () => this.#isRunning,
    });
  }

  /** The running ownership, if this process owns the shard. */
  public get runner(): ShardRunner | undefined {
    return this.#runner;
  }

  /** Claims the shard again and again until the candidate is stopped. */
  public async run(): Promise<void> {
    while (this.#isRunning) {
      const policy = this.#dependencies.readPolicy();
      if (this.#timing.canSkipAttempt) {
        await this.#retryTimer.sleep(this.#timing.choosePauseMs());
        continue;
      }
      const mayClaim = policy !== undefined && !this.#dependencies.isTakeoverPending();
      const claim = mayClaim ? await this.#acquireClaim() : undefined;
      if (policy !== undefined && claim !== undefined) await this.#ownWithClaim(claim, policy);
      else if (mayClaim) await this.#tryToOwnWithoutStore(policy);
      await this.#retryTimer.sleep(this.#timing.choosePauseMs());
    }
  }

  /**
   * Takes a part of the state that the owner hands over.
   *
   * @param call - the part
   * @returns false if this process does not take shards over
   */
  public acceptHandover(call: HandoverCall): boolean {
    if (!this.#isRunning || this.#runner !== undefined) return false;
    if (this.#receivedSnapshot.addPart(call)) {
      this.#timing.recordHandoverReceived();
      this.#retryTimer.interrupt();
    }
    return true;
  }

  /**
   * Hands the shard to a peer and stays a candidate. Nothing happens while the claim is in doubt, because the
   * peer could not take it, or while the peer is not ready.
   *
   * @param peer - link to the peer
   */
  public async handOverTo(peer: Link): Promise<void> {
    const host = this.#runner;
    if (host === undefined || !this.#canHandOver(host)) return;
    const isReady = await this.#handoverSender.checkReady(peer);
    if (!isReady || this.#runner !== host || !this.#canHandOver(host)) return;
    const isTaken = await this.#handoverSender.send(host, [peer]);
    if (this.#runner !== host) return;
    if (isTaken) this.#timing.recordHandoverSent();
    this.#stopRunner();
    await this.#claimManager.release();
  }

  /** Gives the shard up for as long as another data centre takes its work over. */
  public stepDown(): void {
    const detail = 'an operator declared the data centre lost';
    if (this.#runner !== undefined) void this.#releaseOwnership(detail);
  }

  /** Gives the shard up, after its state was handed to a peer if there is one. */
  public async stop(): Promise<void> {
    this.#isRunning = false;
    const host = this.#runner;
    if (host !== undefined) await this.#handoverSender.send(host, this.#dependencies.listPeers());
    this.#stopRunner();
    await this.#claimManager.release();
    this.#retryTimer.interrupt();
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isStillRunning(): boolean {
    return this.#isRunning;
  }

  /** A method for the same reason. */
  #isCurrentRunner(host: ShardRunner): boolean {
    return this.#runner === host;
  }

  async #acquireClaim(): Promise<Claim | undefined> {
    this.#recordEpoch(this.#dependencies.router.findLoad(this.#shard)?.epoch ?? 0);
    // Asked after the store answered: a process that was stalled has read what its peers sent by then.
    const isReserved = (): boolean => this.#timing.isReservedForLastHolder;
    const claim = await this.#claimManager.acquire(this.#highestEpoch, isReserved);
    const isRefused = claim.isErr() && claim.error.kind === 'notOwner';
    const isVacant = isRefused && this.#claimManager.observedHolder === undefined;
    this.#storeAvailability.recordAttempt(claim.isOk() || isRefused, isVacant);
    if (claim.isErr()) {
      this.#logFailure(claim.error);
      return undefined;
    }
    this.#recordEpoch(claim.value.epoch);
    if (this.#isStillRunning()) return claim.value;
    await this.#claimManager.release();
    return undefined;
  }

  #logFailure({ kind, detail }: Failure): void {
    if (kind === 'notOwner') return;
    this.#dependencies.runtime.log.write('warn', 'cannot claim the shard', {
      shard: this.#shard,
      detail,
    });
  }

  #recordEpoch(epoch: number): void {
    this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
  }

  async #ownWithClaim(claim: Claim, policy: Policy): Promise<void> {
    let next: Claim | undefined = claim;
    while (next !== undefined) {
      this.#startRunner(next, this.#dependencies.readPolicy() ?? policy, 'claimed');
      await this.#claimManager.renewWhile(
        () => this.#isRunning || this.#handoverSender.isPreparing,
      );
      if (!this.#isStillRunning()) return;
      next = await this.#reclaim();
      this.#stopLostRunner();
    }
  }

  /**
   * Claims the shard again after the store lease expired. The state passes to the new ownership if no other
   * owner can have acted: the workers have forgotten tasks whose end was acknowledged, and the journal
   * misses the results of an outage.
   */
  async #reclaim(): Promise<Claim | undefined> {
    const host = this.#runner;
    if (host?.canReuseState() !== true) return undefined;
    const claim = await this.#acquireClaimWithin(reclaimTimeoutMs);
    if (claim === undefined) return undefined;
    if (!this.#isCurrentRunner(host) || !host.canReuseState()) {
      await this.#claimManager.release();
      return undefined;
    }
    await this.#retainState(host);
    return claim;
  }

  /** Tries to claim the shard for a time while the store does not answer. */
  async #acquireClaimWithin(ms: number): Promise<Claim | undefined> {
    const { clock } = this.#dependencies.runtime;
    const endsAt = clock.now() + ms;
    let claim = await this.#acquireClaim();
    while (claim === undefined && !this.#storeAvailability.isReachable && clock.now() < endsAt) {
      await clock.sleep(reclaimIntervalMs);
      claim = await this.#acquireClaim();
    }
    return claim;
  }

  /** Keeps the state of an ownership for the next one of this process, which takes it if its epoch follows. */
  async #retainState(host: ShardRunner): Promise<void> {
    const snapshot = await host.freeze();
    this.#receivedSnapshot.addPart({ call: 'handover', last: true, claimed: true, snapshot });
  }

  /** Owns the shard without the store, if its owner handed it over or is silent like the store. */
  async #tryToOwnWithoutStore(policy: Policy): Promise<void> {
    if (
      !this.#isStillRunning() ||
      !this.#dependencies.gateway.hasFencing ||
      this.#storeAvailability.isReachable
    )
      return;
    const handed = this.#receivedSnapshot.completeSnapshot;
    // Nobody acted after the former owner, and the workers refuse this epoch if somebody did.
    if (handed !== undefined && handed.epoch >= this.#highestEpoch) {
      if (handed.claimed && this.#timing.sinceHandoverMs < releasedClaimWaitMs) return;
      await this.#ownWithoutStore(handed.epoch + 1, policy, handed.owner);
      return;
    }
    if (!this.#timing.canOwnWithoutStore) return;
    const { runtime, gateway, listWorkers: readWorkers } = this.#dependencies;
    const { process } = runtime.settings;
    const surveyed = await queryHighestEpoch(gateway, this.#shard, process, readWorkers() ?? []);
    if (surveyed === undefined || !this.#isStillRunning() || this.#timing.hasOtherOwner) return;
    this.#recordEpoch(surveyed);
    await this.#ownWithoutStore(this.#highestEpoch + 1, policy);
  }

  /**
   * Owns the shard until the store answers, another owner shows or no majority is held.
   *
   * @param epoch - epoch of the ownership
   * @param policy - policy in effect
   * @param giver - former owner that handed the shard over; its claim in the store may outlast it
   */
  async #ownWithoutStore(epoch: number, policy: Policy, giver?: string): Promise<void> {
    const { runtime } = this.#dependencies;
    this.#recordEpoch(epoch);
    const token = runtime.random.token();
    const owner = runtime.settings.process;
    const claim = { shard: this.#shard, epoch, owner, address: this.#address, token };
    const host = this.#startRunner(
      claim,
      policy,
      giver === undefined ? 'provisional' : 'handedOver',
    );
    let lastMajorityAt = runtime.clock.now();
    while (this.#isStillRunning() && host.isActive) {
      await runtime.clock.sleep(provisionalCheckIntervalMs);
      if (host.shard.hasMajority) lastMajorityAt = runtime.clock.now();
      else if (
        runtime.clock.now() - lastMajorityAt > majorityLossTimeoutMs ||
        this.#timing.hasOtherOwner
      )
        break;
      const stored = await this.#acquireClaim();
      if (stored === undefined) {
        const isHeld =
          this.#storeAvailability.isReachable && this.#claimManager.observedHolder !== giver;
        if (isHeld) break;
        continue;
      }
      await this.#switchToClaim(host, stored, this.#dependencies.readPolicy() ?? policy);
      return;
    }
    if (this.#isStillRunning()) this.#stopRunner();
  }

  /** Goes on under a claim in the store, with the own state if no other owner claimed the shard meanwhile. */
  async #switchToClaim(host: ShardRunner, claim: Claim, policy: Policy): Promise<void> {
    const { epoch } = host.shard;
    const isNext = this.#claimManager.formerEpoch < epoch && claim.epoch === epoch + 1;
    if (host.isActive && isNext) await this.#retainState(host);
    this.#stopLostRunner();
    await this.#ownWithClaim(claim, policy);
  }

  #startRunner(claim: Claim, policy: Policy, basis: OwnershipBasis): ShardRunner {
    const { runtime, gateway, listWorkers: readWorkers, onChange } = this.#dependencies;
    const host = new ShardRunner(
      runtime,
      gateway,
      {
        claim,
        basis,
        readClaimState: () => this.#claimManager.state,
        readLastContactAt: () => this.#claimManager.lastContactAt,
        onServing: onChange,
        onLost: (detail, epoch) => {
          this.#recordEpoch(epoch);
          if (this.#runner !== host) return;
          this.#stopLostRunner();
          void this.#releaseOwnership(detail);
        },
      },
      policy,
    );
    host.applyKeys(runtime.keyRing);
    this.#runner = host;
    const workers = readWorkers();
    if (workers !== undefined) host.applyHosts(workers);
    host.start(this.#receivedSnapshot.take(claim.epoch));
    onChange();
    return host;
  }

  async #releaseOwnership(detail: string): Promise<void> {
    this.#dependencies.runtime.recorder.record('claimLost', { shard: this.#shard, detail });
    this.#stopRunner();
    await this.#claimManager.release();
  }

  /**
   * Ends an ownership that was lost: the next owner gets what only this process and an entry know. A snapshot does
   * not replace that, because it leaves out requests whose commit is under way, and the commit may fail.
   */
  #stopLostRunner(): void {
    const shard = this.#runner?.shard;
    const calls = shard?.describeUnpersisted() ?? [];
    this.#stopRunner();
    void this.#relay.run(shard?.epoch ?? 0, calls);
  }

  #canHandOver(host: ShardRunner): boolean {
    const isSettled = host.isServing && host.shard.isRecovered;
    return this.#isRunning && isSettled && this.#claimManager.state === 'confirmed';
  }

  #stopRunner(): void {
    this.#runner?.stop();
    this.#runner = undefined;
    this.#dependencies.onChange();
  }
}
