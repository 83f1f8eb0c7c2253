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

/** Period and interval of the attempts of an owner whose store lease expired to reclaim its shard with its state. */
const reclaimTimeoutMs = 3000;
const reclaimIntervalMs = 100;
/**
 * Time after a handover in which the shard is left to a process that reaches the store and can claim it, if the claim
 * of the previous owner was confirmed when it stopped: the lease of that claim, in case its release was lost, and two
 * attempts.
 */
const releasedClaimWaitMs = 5000;
/** Time without a majority of worker leases after which an ownership without a claim ends. */
const majorityLossTimeoutMs = 20_000;
const provisionalCheckIntervalMs = 500;

/** Dependencies of a candidate. */
interface CandidateDependencies {
  readonly runtime: ProcessRuntime;
  readonly gateway: WorkerGateway;
  readonly router: Router;
  /** Returns the policy in effect; undefined before the first configuration. */
  readonly readPolicy: () => Policy | undefined;
  /** Lists the workers of the shard in the latest host list; undefined before the first one. */
  readonly listWorkers: () => readonly HostRecord[] | undefined;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Called after the ownership or serving started, or the ownership ended. */
  readonly onChange: () => void;
  /**
   * Checks whether other data centres are to take the work of the shard over, as an operator declared its data centre
   * lost.
   */
  readonly isTakeoverPending: () => boolean;
}

/**
 * Candidate for the ownership of one shard: claims the shard while no other process owns it, and runs it as the
 * owner.
 */
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
  /** Highest epoch of the shard known to this process. */
  #highestEpoch = 0;

  /**
   * @param dependencies - services and callbacks to use
   * @param shard - name of the shard
   * @param address - link address of this process
   */
  public constructor(dependencies: CandidateDependencies, shard: string, address: string) {
    this.#dependencies = dependencies;
    this.#shard = shard;
    this.#address = address;
    const { runtime, router, listPeers } = dependencies;
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
    const common = { clock, router, shard, process, listPeers };
    this.#timing = new ClaimTiming({
      ...common,
      random,
      storeAvailability: this.#storeAvailability,
    });
    this.#relay = new RequestRelay({
      ...common,
      readRunner: () => this.#runner,
      isRunning: () => this.#isRunning,
    });
  }

  /** Runner of the shard; undefined unless this process owns it. */
  public get runner(): ShardRunner | undefined {
    return this.#runner;
  }

  /** Tries to claim the shard, and runs it while this process owns it, until the candidate is stopped. */
  public async run(): Promise<void> {
    while (this.#isRunning) {
      const policy = this.#dependencies.readPolicy();
      if (this.#timing.canSkipAttempt) {
        await this.#retryTimer.sleep(this.#timing.choosePauseMs());
        continue;
      }
      const canClaim = policy !== undefined && !this.#dependencies.isTakeoverPending();
      const claim = canClaim ? await this.#acquireClaim() : undefined;
      if (policy !== undefined && claim !== undefined) await this.#ownWithClaim(claim, policy);
      else if (canClaim) await this.#tryToOwnWithoutStore(policy);
      await this.#retryTimer.sleep(this.#timing.choosePauseMs());
    }
  }

  /**
   * Accepts a part of the state that the owner hands over.
   *
   * @param call - handover call with the part
   * @returns false if the candidate is stopped or owns the shard
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
   * Hands the shard over to a peer and remains a candidate. Does nothing if the peer is not ready, or if the
   * claim is not confirmed, because the peer could not claim the shard then.
   *
   * @param peer - link to the peer
   */
  public async handOverTo(peer: Link): Promise<void> {
    const runner = this.#runner;
    if (runner === undefined || !this.#canHandOver(runner)) return;
    const isReady = await this.#handoverSender.checkReady(peer);
    if (!isReady || this.#runner !== runner || !this.#canHandOver(runner)) return;
    const isAccepted = await this.#handoverSender.send(runner, [peer]);
    if (this.#runner !== runner) return;
    if (isAccepted) this.#timing.recordHandoverSent();
    this.#stopRunner();
    await this.#claimManager.release();
  }

  /** Ends the ownership, so that other data centres can take the work of the shard over. */
  public stepDown(): void {
    const detail = 'an operator declared the data centre lost';
    if (this.#runner !== undefined) void this.#releaseOwnership(detail);
  }

  /** Stops the candidate; an owner first hands the state of the shard over to a peer, if there is one. */
  public async stop(): Promise<void> {
    this.#isRunning = false;
    const runner = this.#runner;
    if (runner !== undefined)
      await this.#handoverSender.send(runner, this.#dependencies.listPeers());
    this.#stopRunner();
    await this.#claimManager.release();
    this.#retryTimer.interrupt();
  }

  /**
   * Checks whether the candidate runs. A method, because the compiler assumes that a field is unchanged after an
   * await.
   */
  #isStillRunning(): boolean {
    return this.#isRunning;
  }

  /** Checks whether a runner is the current one. A method for the same reason. */
  #isCurrentRunner(runner: ShardRunner): boolean {
    return this.#runner === runner;
  }

  async #acquireClaim(): Promise<Claim | undefined> {
    this.#recordEpoch(this.#dependencies.router.findLoad(this.#shard)?.epoch ?? 0);
    // Evaluated after the store answered: by then, a process that was stalled has read the messages of its peers.
    const isReserved = (): boolean => this.#timing.isReservedForLastHolder;
    const claim = await this.#claimManager.acquire(this.#highestEpoch, isReserved);
    const isRefused = claim.isErr() && claim.error.kind === 'notOwner';
    const isUnclaimed = isRefused && this.#claimManager.observedHolder === undefined;
    this.#storeAvailability.recordAttempt(claim.isOk() || isRefused, isUnclaimed);
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
   * Reclaims the shard after the store lease expired, and transfers the state to the new ownership, unless another
   * owner can have acted in between. The state cannot be rebuilt: the workers have forgotten tasks whose end was
   * acknowledged, and the journal lacks the outcomes of tasks that ended during an outage.
   *
   * @returns the new claim; undefined if the state cannot be reused or the claim was not acquired
   */
  async #reclaim(): Promise<Claim | undefined> {
    const runner = this.#runner;
    if (runner?.canReuseState() !== true) return undefined;
    const claim = await this.#acquireClaimWithin(reclaimTimeoutMs);
    if (claim === undefined) return undefined;
    if (!this.#isCurrentRunner(runner) || !runner.canReuseState()) {
      await this.#claimManager.release();
      return undefined;
    }
    await this.#retainState(runner);
    return claim;
  }

  /** Tries to claim the shard; while the store does not answer, repeats that for the given time in milliseconds. */
  async #acquireClaimWithin(durationMs: number): Promise<Claim | undefined> {
    const { clock } = this.#dependencies.runtime;
    const endsAt = clock.now() + durationMs;
    let claim = await this.#acquireClaim();
    while (claim === undefined && !this.#storeAvailability.isReachable && clock.now() < endsAt) {
      await clock.sleep(reclaimIntervalMs);
      claim = await this.#acquireClaim();
    }
    return claim;
  }

  /**
   * Retains the state of an ownership for the next one of this process, which uses it if its epoch is the next one.
   */
  async #retainState(runner: ShardRunner): Promise<void> {
    const snapshot = await runner.freeze();
    this.#receivedSnapshot.addPart({ call: 'handover', last: true, claimed: true, snapshot });
  }

  /**
   * Owns the shard without the store, if the previous owner handed it over, or if both the owner and the store are
   * silent.
   */
  async #tryToOwnWithoutStore(policy: Policy): Promise<void> {
    if (
      !this.#isStillRunning() ||
      !this.#dependencies.gateway.hasFencing ||
      this.#storeAvailability.isReachable
    )
      return;
    const snapshot = this.#receivedSnapshot.completeSnapshot;
    // No later epoch is known, so the previous owner was the last; otherwise the workers refuse this epoch.
    if (snapshot !== undefined && snapshot.epoch >= this.#highestEpoch) {
      if (snapshot.claimed && this.#timing.sinceHandoverMs < releasedClaimWaitMs) return;
      await this.#ownWithoutStore(snapshot.epoch + 1, policy, snapshot.owner);
      return;
    }
    if (!this.#timing.canOwnWithoutStore) return;
    const { runtime, gateway, listWorkers } = this.#dependencies;
    const { process } = runtime.settings;
    const acceptedEpoch = await queryHighestEpoch(
      gateway,
      this.#shard,
      process,
      listWorkers() ?? [],
    );
    if (acceptedEpoch === undefined || !this.#isStillRunning() || this.#timing.hasOtherOwner)
      return;
    this.#recordEpoch(acceptedEpoch);
    await this.#ownWithoutStore(this.#highestEpoch + 1, policy);
  }

  /**
   * Owns the shard without the store until the store answers, another owner is detected or the majority of worker
   * leases is lost.
   *
   * @param epoch - epoch of the ownership
   * @param policy - policy in effect
   * @param previousOwner - owner that handed the shard over; its claim may remain in the store after it stopped
   */
  async #ownWithoutStore(epoch: number, policy: Policy, previousOwner?: string): Promise<void> {
    const { runtime } = this.#dependencies;
    this.#recordEpoch(epoch);
    const token = runtime.random.token();
    const owner = runtime.settings.process;
    const claim = { shard: this.#shard, epoch, owner, address: this.#address, token };
    const runner = this.#startRunner(
      claim,
      policy,
      previousOwner === undefined ? 'provisional' : 'handedOver',
    );
    let lastMajorityAt = runtime.clock.now();
    while (this.#isStillRunning() && runner.isActive) {
      await runtime.clock.sleep(provisionalCheckIntervalMs);
      if (runner.shard.hasMajority) lastMajorityAt = runtime.clock.now();
      else if (
        runtime.clock.now() - lastMajorityAt > majorityLossTimeoutMs ||
        this.#timing.hasOtherOwner
      )
        break;
      const storeClaim = await this.#acquireClaim();
      if (storeClaim === undefined) {
        const isHeldByOther =
          this.#storeAvailability.isReachable &&
          this.#claimManager.observedHolder !== previousOwner;
        if (isHeldByOther) break;
        continue;
      }
      await this.#switchToClaim(runner, storeClaim, this.#dependencies.readPolicy() ?? policy);
      return;
    }
    if (this.#isStillRunning()) this.#stopRunner();
  }

  /** Continues under a claim in the store, with the same state if no other owner claimed the shard in between. */
  async #switchToClaim(runner: ShardRunner, claim: Claim, policy: Policy): Promise<void> {
    const { epoch } = runner.shard;
    const isNext = this.#claimManager.formerEpoch < epoch && claim.epoch === epoch + 1;
    if (runner.isActive && isNext) await this.#retainState(runner);
    this.#stopLostRunner();
    await this.#ownWithClaim(claim, policy);
  }

  #startRunner(claim: Claim, policy: Policy, basis: OwnershipBasis): ShardRunner {
    const { runtime, gateway, listWorkers, onChange } = this.#dependencies;
    const runner = new ShardRunner(
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
          if (this.#runner !== runner) return;
          this.#stopLostRunner();
          void this.#releaseOwnership(detail);
        },
      },
      policy,
    );
    runner.applyKeys(runtime.keyRing);
    this.#runner = runner;
    const workers = listWorkers();
    if (workers !== undefined) runner.applyHosts(workers);
    runner.start(this.#receivedSnapshot.take(claim.epoch));
    onChange();
    return runner;
  }

  async #releaseOwnership(detail: string): Promise<void> {
    this.#dependencies.runtime.recorder.record('claimLost', { shard: this.#shard, detail });
    this.#stopRunner();
    await this.#claimManager.release();
  }

  /**
   * Stops the runner of an ownership that was lost, and relays to the next owner the calls that are not in the
   * journal: only this process and an entry know them. A snapshot cannot replace that, because it omits requests
   * whose commit is in progress, and the commit may fail.
   */
  #stopLostRunner(): void {
    const shard = this.#runner?.shard;
    const calls = shard?.describeUnpersisted() ?? [];
    this.#stopRunner();
    void this.#relay.run(shard?.epoch ?? 0, calls);
  }

  #canHandOver(runner: ShardRunner): boolean {
    const isSettled = runner.isServing && runner.shard.isRecovered;
    return this.#isRunning && isSettled && this.#claimManager.state === 'confirmed';
  }

  #stopRunner(): void {
    this.#runner?.stop();
    this.#runner = undefined;
    this.#dependencies.onChange();
  }
}
