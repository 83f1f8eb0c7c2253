import { ClaimKeeper, type Policy, type Router, type WorkerGateway } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import type { Claim, Failure, HandoverCall, HeldRequest, HostRecord } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { divideSnapshot } from './divideSnapshot.js';
import { RequestRelay } from './RequestRelay.js';
import { ShardHost } from './ShardHost.js';
import { SnapshotInbox } from './SnapshotInbox.js';
import { surveyEpochs } from './surveyEpochs.js';
import { Waker } from './Waker.js';

const pollMs = 1000;
/**
 * While the owner gives signs of life, a candidate asks the store only this often: with many schedulers
 * and shards these reads would be most of the store's load. Two missing heartbeats end the rest, before
 * the claim of a dead owner expires.
 */
const restMs = 5000;
const ownerSilenceMs = 2000;
/** Interval of attempts while the owner hands the shard over, and how long they go on. */
const handoverPollMs = 20;
const handoverWaitMs = 3000;
const handoverTimeoutMs = 1000;
/** Bound of the time in which finished requests are sent before the owner stops to act. */
const prepareMs = 3000;
/** Finished requests in one part; describing them takes a few milliseconds. */
const requestsPerPart = 250;
/** Silence of the owner and of the store before a candidate acts without the store. */
const silenceMs = 4000;
/** Attempts in a row that the store left unanswered, so that a pause alone does not look like an outage. */
const minUnanswered = 3;
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
  readonly #keeper: ClaimKeeper;
  readonly #waker: Waker;
  readonly #inbox: SnapshotInbox;
  readonly #relay: RequestRelay;
  #host: ShardHost | undefined;
  #wanted = true;
  /** Whether the owner still acts while a peer gets the finished requests. */
  #isPreparing = false;
  #handoverUntil = 0;
  /** Local monotonic time until which a peer may take over what was handed to it, in milliseconds. */
  #yieldUntil = 0;
  /** Highest epoch that any message named. */
  #highestEpoch = 0;
  #unanswered = 0;
  #lastAnswerAt: number;

  /**
   * @param parts - parts of the process
   * @param shard - name of the shard
   * @param address - link address of this process
   */
  public constructor(parts: CandidateParts, shard: string, address: string) {
    this.#parts = parts;
    this.#shard = shard;
    this.#address = address;
    const { runtime } = parts;
    this.#keeper = new ClaimKeeper(runtime, shard, runtime.settings.process, address);
    this.#waker = new Waker(runtime.clock);
    this.#inbox = new SnapshotInbox(runtime.clock);
    this.#relay = new RequestRelay({
      clock: runtime.clock,
      router: parts.router,
      shard,
      process: runtime.settings.process,
      listPeers: parts.listPeers,
      readHost: () => this.#host,
      isWanted: () => this.#wanted,
    });
    this.#lastAnswerAt = runtime.clock.now();
  }

  /** The running ownership, if this process owns the shard. */
  public get host(): ShardHost | undefined {
    return this.#host;
  }

  /** Claims the shard again and again until the candidate is stopped. */
  public async run(): Promise<void> {
    const { clock, random } = this.#parts.runtime;
    while (this.#wanted) {
      const policy = this.#parts.readPolicy();
      if (this.#mayRest || clock.now() < this.#yieldUntil) {
        await this.#waker.sleep(pollMs * (0.5 + random.next() / 2));
        continue;
      }
      const mayClaim = policy !== undefined && !this.#parts.mustYield();
      const claim = mayClaim ? await this.#acquire() : undefined;
      if (policy !== undefined && claim !== undefined) await this.#serve(claim, policy);
      else if (mayClaim && this.#mayTryWithoutStore) {
        await this.#serveWithoutStore(policy);
      }
      const isExpected = clock.now() < this.#handoverUntil;
      await this.#waker.sleep(isExpected ? handoverPollMs : pollMs * (0.5 + random.next() / 2));
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
      this.#handoverUntil = this.#parts.runtime.clock.now() + handoverWaitMs;
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
    const { clock } = this.#parts.runtime;
    const host = this.#host;
    if (host === undefined || !this.#mayHandOver(host)) return;
    const status = await peer.call({ call: 'status' }, handoverTimeoutMs);
    const isReady = status.isOk() && status.value.reply === 'status' && status.value.status.ready;
    if (!isReady || this.#host !== host || !this.#mayHandOver(host)) return;
    const isTaken = await this.#handOver(host, [peer]);
    if (this.#host !== host) return;
    if (isTaken) this.#yieldUntil = clock.now() + handoverWaitMs;
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
    if (host !== undefined) await this.#handOver(host, this.#parts.listPeers());
    this.#endHost();
    await this.#keeper.release();
    this.#waker.wake();
  }

  /** Whether a peer owns the shard for all that is known, by the store and by its signs of life. */
  get #mayRest(): boolean {
    const { clock } = this.#parts.runtime;
    if (this.#unanswered > 0 || clock.now() < this.#handoverUntil) return false;
    const isRecent = clock.now() - this.#lastAnswerAt < restMs;
    return isRecent && this.#parts.router.hasOwner(this.#shard, ownerSilenceMs);
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isWanted(): boolean {
    return this.#wanted;
  }

  async #acquire(): Promise<Claim | undefined> {
    const { clock } = this.#parts.runtime;
    this.#noteEpoch(this.#parts.router.findLoad(this.#shard)?.epoch ?? 0);
    const claim = await this.#keeper.acquire(this.#highestEpoch);
    if (claim.isOk() || claim.error.kind === 'notOwner') {
      this.#unanswered = 0;
      this.#lastAnswerAt = clock.now();
    } else this.#unanswered += 1;
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
    this.#startHost(claim, policy, false);
    await this.#keeper.keep(() => this.#wanted || this.#isPreparing);
    if (this.#isWanted()) this.#loseHost();
  }

  /** Whether neither the store nor an owner was heard of for a while. */
  get #mayTryWithoutStore(): boolean {
    const { runtime, gateway } = this.#parts;
    const isSilent = runtime.clock.now() - this.#lastAnswerAt > silenceMs;
    const isDown = isSilent && this.#unanswered >= minUnanswered;
    return this.#wanted && gateway.fences && isDown && !this.#seesOwner();
  }

  #seesOwner(): boolean {
    const { router, runtime } = this.#parts;
    const load = router.findLoad(this.#shard, silenceMs);
    return load !== undefined && load.owner !== runtime.settings.process;
  }

  /** Owns the shard provisionally until the store answers, another owner shows or no majority is held. */
  async #serveWithoutStore(policy: Policy): Promise<void> {
    const { runtime, gateway, readWorkers } = this.#parts;
    const workers = readWorkers() ?? [];
    const { process } = runtime.settings;
    const surveyed = await surveyEpochs(gateway, this.#shard, process, workers);
    if (surveyed === undefined || !this.#isWanted() || this.#seesOwner()) return;
    this.#noteEpoch(surveyed);
    const epoch = this.#highestEpoch + 1;
    this.#noteEpoch(epoch);
    const token = runtime.random.token();
    const claim = { shard: this.#shard, epoch, owner: process, address: this.#address, token };
    const host = this.#startHost(claim, policy, true);
    let lastMajorityAt = runtime.clock.now();
    while (this.#isWanted() && host.isActive) {
      await runtime.clock.sleep(provisionalPollMs);
      if (host.shard.holdsMajority) lastMajorityAt = runtime.clock.now();
      else if (runtime.clock.now() - lastMajorityAt > noMajorityMs || this.#seesOwner()) break;
      const stored = await this.#acquire();
      if (stored === undefined) {
        if (this.#unanswered === 0) break;
        continue;
      }
      this.#endHost();
      await this.#serve(stored, this.#parts.readPolicy() ?? policy);
      return;
    }
    if (this.#isWanted()) this.#endHost();
  }

  #startHost(claim: Claim, policy: Policy, provisional: boolean): ShardHost {
    const { runtime, gateway, readWorkers, onChange } = this.#parts;
    const host = new ShardHost(
      runtime,
      gateway,
      {
        claim,
        provisional,
        readStanding: () => this.#keeper.standing,
        readContact: () => this.#keeper.contactAt,
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

  /** Ends an ownership that was lost: the next owner gets what only this process and an entry know. */
  #loseHost(): void {
    const shard = this.#host?.shard;
    const calls = shard?.describeUnkept() ?? [];
    this.#endHost();
    void this.#relay.run(shard?.epoch ?? 0, calls);
  }

  #mayHandOver(host: ShardHost): boolean {
    const isSettled = host.isServing && host.shard.isRecovered;
    return this.#wanted && isSettled && this.#keeper.standing === 'confirmed';
  }

  /** Hands the state to the first peer that takes it; returns whether one did. */
  async #handOver(host: ShardHost, peers: readonly Link[]): Promise<boolean> {
    const [peer] = peers;
    this.#isPreparing = true;
    const sent = peer === undefined ? undefined : await this.#prepare(host, peer);
    this.#isPreparing = false;
    if (!host.isActive) return false;
    const rest = await host.freeze(sent);
    const isTaken =
      peer !== undefined &&
      sent !== undefined &&
      (await this.#sendParts(peer, divideSnapshot(rest)));
    const whole = isTaken ? [] : divideSnapshot(await host.freeze());
    const taker = isTaken ? peer : await this.#sendToFirst(whole, peers);
    if (taker === undefined) return false;
    const { shard, epoch } = rest;
    const detail = taker.peer?.process ?? '';
    this.#parts.runtime.recorder.record('claimHandedOver', { shard, epoch, detail });
    return true;
  }

  /**
   * Sends the finished requests while this process still acts: after a busy time they are most of the
   * state. The small parts leave time for decisions in between.
   */
  async #prepare(host: ShardHost, peer: Link): Promise<ReadonlySet<string> | undefined> {
    const { clock } = this.#parts.runtime;
    const endsAt = clock.now() + prepareMs;
    const { name: shard, epoch } = host.shard;
    const sent = new Set<string>();
    let requests: HeldRequest[] = [];
    const send = async (): Promise<boolean> => {
      const calls = divideSnapshot({ shard, epoch, requests, reports: [] }, false);
      const isSent = await this.#sendParts(peer, calls);
      for (const { request } of requests) sent.add(request.id);
      requests = [];
      return isSent;
    };
    for (const held of host.shard.describeFinished()) {
      requests.push(held);
      if (requests.length < requestsPerPart) continue;
      if (!(await send())) return undefined;
      if (!host.isActive || clock.now() > endsAt) return sent;
    }
    return (await send()) ? sent : undefined;
  }

  /** Sends all parts to the first peer that takes them. */
  async #sendToFirst(
    calls: readonly HandoverCall[],
    peers: readonly Link[],
  ): Promise<Link | undefined> {
    for (const peer of peers) {
      if (await this.#sendParts(peer, calls)) return peer;
    }
    return undefined;
  }

  async #sendParts(peer: Link, calls: readonly HandoverCall[]): Promise<boolean> {
    for (const call of calls) {
      const reply = await peer.call(call, handoverTimeoutMs);
      if (reply.isErr() || reply.value.reply !== 'done') return false;
    }
    return true;
  }

  #endHost(): void {
    this.#host?.stop();
    this.#host = undefined;
    this.#parts.onChange();
  }
}
