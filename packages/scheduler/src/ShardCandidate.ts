import { ClaimManager, type Policy, type Router, type WorkerGateway } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Claim, Failure, HandoverCall, HostRecord } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { ClaimTiming } from './ClaimTiming.js';
import { HandoverSender } from './HandoverSender.js';
import type { OwnershipBasis } from './OwnershipBasis.js';
import { RequestRelay } from './RequestRelay.js';
import { ShardHost } from './ShardHost.js';
import { SnapshotInbox } from './SnapshotInbox.js';
import { StoreContact } from './StoreContact.js';
import { surveyEpochs } from './surveyEpochs.js';
import { Waker } from './Waker.js';

/** How long an owner whose store lease expired tries to claim its shard again with its state, and how often. */
const resumeMs = 3000;
const resumePollMs = 100;
/**
 * Time in which a process that reaches the store claims a shard whose owner held a confirmed claim when it stopped:
 * the lease of the claim, in case its release was lost, and two attempts.
 */
const releasedMs = 5000;
/** Time without a majority of worker leases after which a provisional ownership is given up. */
const noMajorityMs = 20_000;
const provisionalPollMs = 500;

/** Parts of the process that a candidate uses. */
interface CandidateParts {
  readonly runtime: ProcessRuntime;
  readonly gateway: WorkerGateway;
  readonly router: Router;
  /** Reads the policy in effect. */
  readonly readPolicy: () => Policy | undefined;
  /** Reads the workers of the shard from the last host list. */
  readonly readWorkers: () => readonly HostRecord[] | undefined;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Called after the ownership began or ended. */
  readonly onChange: () => void;
  /** Whether another data centre takes the work of the shard over by an operator's declaration. */
  readonly mustYield: () => boolean;
}

/** Candidate for the ownership of one shard: claims it whenever nobody else does. */
export class ShardCandidate {
  readonly #parts: CandidateParts;
  readonly #shard: string;
  readonly #address: string;
  readonly #keeper: ClaimManager;
  readonly #waker: Waker;
  readonly #inbox: SnapshotInbox;
  readonly #sender: HandoverSender;
  readonly #contact: StoreContact;
  readonly #timing: ClaimTiming;
  readonly #relay: RequestRelay;
  #host: ShardHost | undefined;
  #wanted = true;
  /** Highest epoch that any message named. */
  #highestEpoch = 0;

  /**
   * @param parts - parts of the process
   * @param shard - name of the shard
   * @param address - link address of this process
   */
  public constructor(parts: CandidateParts, shard: string, address: string) {
    this.#parts = parts;
    this.#shard = shard;
    this.#address = address;
    const { runtime, router, listPeers } = parts;
    const { clock, random, settings } = runtime;
    const { process } = settings;
    this.#keeper = new ClaimManager(runtime, shard, process, address);
    this.#waker = new Waker(clock);
    this.#inbox = new SnapshotInbox(clock);
    this.#sender = new HandoverSender(runtime, () => this.#keeper.state === 'confirmed');
    this.#contact = new StoreContact(clock);
    const shared = { clock, router, shard, process, listPeers };
    this.#timing = new ClaimTiming({ ...shared, random, contact: this.#contact });
    this.#relay = new RequestRelay({
      ...shared,
      readHost: () => this.#host,
      isWanted: () => this.#wanted,
    });
  }

  /** The running ownership, if this process owns the shard. */
  public get host(): ShardHost | undefined {
    return this.#host;
  }

  /** Claims the shard again and again until the candidate is stopped. */
  public async run(): Promise<void> {
    while (this.#wanted) {
      const policy = this.#parts.readPolicy();
      if (this.#timing.mayRest) {
        await this.#waker.sleep(this.#timing.choosePauseMs());
        continue;
      }
      const mayClaim = policy !== undefined && !this.#parts.mustYield();
      const claim = mayClaim ? await this.#acquire() : undefined;
      if (policy !== undefined && claim !== undefined) await this.#serve(claim, policy);
      else if (mayClaim) await this.#tryWithoutStore(policy);
      await this.#waker.sleep(this.#timing.choosePauseMs());
    }
  }

  /**
   * Takes a part of the state that the owner hands over.
   *
   * @param call - the part
   * @returns false if this process does not take shards over
   */
  public acceptHandover(call: HandoverCall): boolean {
    if (!this.#wanted || this.#host !== undefined) return false;
    if (this.#inbox.add(call)) {
      this.#timing.noteHanded();
      this.#waker.wake();
    }
    return true;
  }

  /**
   * Hands the shard to a peer and stays a candidate. Nothing happens while the claim is in doubt, because the
   * peer could not take it, or while the peer is not ready.
   *
   * @param peer - link to the peer
   */
  public async handTo(peer: Link): Promise<void> {
    const host = this.#host;
    if (host === undefined || !this.#mayHandOver(host)) return;
    const isReady = await this.#sender.checkReady(peer);
    if (!isReady || this.#host !== host || !this.#mayHandOver(host)) return;
    const isTaken = await this.#sender.send(host, [peer]);
    if (this.#host !== host) return;
    if (isTaken) this.#timing.noteGiven();
    this.#endHost();
    await this.#keeper.release();
  }

  /** Gives the shard up for as long as another data centre takes its work over. */
  public yield(): void {
    const detail = 'an operator declared the data centre lost';
    if (this.#host !== undefined) void this.#giveUp(detail);
  }

  /** Gives the shard up, after its state was handed to a peer if there is one. */
  public async stop(): Promise<void> {
    this.#wanted = false;
    const host = this.#host;
    if (host !== undefined) await this.#sender.send(host, this.#parts.listPeers());
    this.#endHost();
    await this.#keeper.release();
    this.#waker.wake();
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isWanted(): boolean {
    return this.#wanted;
  }

  /** A method for the same reason. */
  #isHost(host: ShardHost): boolean {
    return this.#host === host;
  }

  async #acquire(): Promise<Claim | undefined> {
    this.#noteEpoch(this.#parts.router.findLoad(this.#shard)?.epoch ?? 0);
    // Asked after the store answered: a process that was stalled has read what its peers sent by then.
    const isReserved = (): boolean => this.#timing.isReserved;
    const claim = await this.#keeper.acquire(this.#highestEpoch, isReserved);
    const isRefused = claim.isErr() && claim.error.kind === 'notOwner';
    const isVacant = isRefused && this.#keeper.observedHolder === undefined;
    this.#contact.note(claim.isOk() || isRefused, isVacant);
    if (claim.isErr()) {
      this.#noteFailure(claim.error);
      return undefined;
    }
    this.#noteEpoch(claim.value.epoch);
    if (this.#isWanted()) return claim.value;
    await this.#keeper.release();
    return undefined;
  }

  #noteFailure({ kind, detail }: Failure): void {
    if (kind === 'notOwner') return;
    this.#parts.runtime.log.write('warn', 'cannot claim the shard', { shard: this.#shard, detail });
  }

  #noteEpoch(epoch: number): void {
    this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
  }

  async #serve(claim: Claim, policy: Policy): Promise<void> {
    let next: Claim | undefined = claim;
    while (next !== undefined) {
      this.#startHost(next, this.#parts.readPolicy() ?? policy, 'claimed');
      await this.#keeper.renewWhile(() => this.#wanted || this.#sender.isPreparing);
      if (!this.#isWanted()) return;
      next = await this.#resume();
      this.#loseHost();
    }
  }

  /**
   * Claims the shard again after the store lease expired. The state passes to the new ownership if no other
   * owner can have acted: the workers have forgotten tasks whose end was acknowledged, and the journal
   * misses the results of an outage.
   */
  async #resume(): Promise<Claim | undefined> {
    const host = this.#host;
    if (host?.canResume() !== true) return undefined;
    const claim = await this.#acquireWithin(resumeMs);
    if (claim === undefined) return undefined;
    if (!this.#isHost(host) || !host.canResume()) {
      await this.#keeper.release();
      return undefined;
    }
    await this.#keepState(host);
    return claim;
  }

  /** Tries to claim the shard for a time while the store does not answer. */
  async #acquireWithin(ms: number): Promise<Claim | undefined> {
    const { clock } = this.#parts.runtime;
    const endsAt = clock.now() + ms;
    let claim = await this.#acquire();
    while (claim === undefined && !this.#contact.isAnswering && clock.now() < endsAt) {
      await clock.sleep(resumePollMs);
      claim = await this.#acquire();
    }
    return claim;
  }

  /** Keeps the state of an ownership for the next one of this process, which takes it if its epoch follows. */
  async #keepState(host: ShardHost): Promise<void> {
    const snapshot = await host.freeze();
    this.#inbox.add({ call: 'handover', last: true, claimed: true, snapshot });
  }

  /** Owns the shard without the store, if its owner handed it over or is silent like the store. */
  async #tryWithoutStore(policy: Policy): Promise<void> {
    if (!this.#isWanted() || !this.#parts.gateway.hasFencing || this.#contact.isAnswering) return;
    const handed = this.#inbox.complete;
    // Nobody acted after the former owner, and the workers refuse this epoch if somebody did.
    if (handed !== undefined && handed.epoch >= this.#highestEpoch) {
      if (handed.claimed && this.#timing.handedMs < releasedMs) return;
      await this.#serveWithoutStore(handed.epoch + 1, policy, handed.owner);
      return;
    }
    if (!this.#timing.mayTryWithoutStore) return;
    const { runtime, gateway, readWorkers } = this.#parts;
    const { process } = runtime.settings;
    const surveyed = await surveyEpochs(gateway, this.#shard, process, readWorkers() ?? []);
    if (surveyed === undefined || !this.#isWanted() || this.#timing.seesOwner) return;
    this.#noteEpoch(surveyed);
    await this.#serveWithoutStore(this.#highestEpoch + 1, policy);
  }

  /**
   * Owns the shard until the store answers, another owner shows or no majority is held.
   *
   * @param epoch - epoch of the ownership
   * @param policy - policy in effect
   * @param giver - former owner that handed the shard over; its claim in the store may outlast it
   */
  async #serveWithoutStore(epoch: number, policy: Policy, giver?: string): Promise<void> {
    const { runtime } = this.#parts;
    this.#noteEpoch(epoch);
    const token = runtime.random.token();
    const owner = runtime.settings.process;
    const claim = { shard: this.#shard, epoch, owner, address: this.#address, token };
    const host = this.#startHost(claim, policy, giver === undefined ? 'provisional' : 'handedOver');
    let lastMajorityAt = runtime.clock.now();
    while (this.#isWanted() && host.isActive) {
      await runtime.clock.sleep(provisionalPollMs);
      if (host.shard.hasMajority) lastMajorityAt = runtime.clock.now();
      else if (runtime.clock.now() - lastMajorityAt > noMajorityMs || this.#timing.seesOwner) break;
      const stored = await this.#acquire();
      if (stored === undefined) {
        const isHeld = this.#contact.isAnswering && this.#keeper.observedHolder !== giver;
        if (isHeld) break;
        continue;
      }
      await this.#serveWithStore(host, stored, this.#parts.readPolicy() ?? policy);
      return;
    }
    if (this.#isWanted()) this.#endHost();
  }

  /** Goes on under a claim in the store, with the own state if no other owner claimed the shard meanwhile. */
  async #serveWithStore(host: ShardHost, claim: Claim, policy: Policy): Promise<void> {
    const { epoch } = host.shard;
    const isNext = this.#keeper.formerEpoch < epoch && claim.epoch === epoch + 1;
    if (host.isActive && isNext) await this.#keepState(host);
    this.#loseHost();
    await this.#serve(claim, policy);
  }

  #startHost(claim: Claim, policy: Policy, basis: OwnershipBasis): ShardHost {
    const { runtime, gateway, readWorkers, onChange } = this.#parts;
    const host = new ShardHost(
      runtime,
      gateway,
      {
        claim,
        basis,
        readStanding: () => this.#keeper.state,
        readContact: () => this.#keeper.lastContactAt,
        onServing: onChange,
        onLost: (detail, epoch) => {
          this.#noteEpoch(epoch);
          if (this.#host !== host) return;
          this.#loseHost();
          void this.#giveUp(detail);
        },
      },
      policy,
    );
    host.applyKeys(runtime.keyRing);
    this.#host = host;
    const workers = readWorkers();
    if (workers !== undefined) host.applyHosts(workers);
    host.start(this.#inbox.take(claim.epoch));
    onChange();
    return host;
  }

  async #giveUp(detail: string): Promise<void> {
    this.#parts.runtime.recorder.record('claimLost', { shard: this.#shard, detail });
    this.#endHost();
    await this.#keeper.release();
  }

  /**
   * Ends an ownership that was lost: the next owner gets what only this process and an entry know. A snapshot does
   * not replace that, because it leaves out requests whose commit is under way, and the commit may fail.
   */
  #loseHost(): void {
    const shard = this.#host?.shard;
    const calls = shard?.describeUnpersisted() ?? [];
    this.#endHost();
    void this.#relay.run(shard?.epoch ?? 0, calls);
  }

  #mayHandOver(host: ShardHost): boolean {
    const isSettled = host.isServing && host.shard.isRecovered;
    return this.#wanted && isSettled && this.#keeper.state === 'confirmed';
  }

  #endHost(): void {
    this.#host?.stop();
    this.#host = undefined;
    this.#parts.onChange();
  }
}
