import type { ProcessRuntime } from '@toucanline/runtime';
import type { HandoverCall, HeldRequest } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { splitSnapshot } from './splitSnapshot.js';
import type { ShardRunner } from './ShardRunner.js';

const callTimeoutMs = 1000;
/** Bound of the time in which finished requests are sent before the owner stops to act. */
const maxPreparationMs = 3000;
/** Finished requests in one part; describing them takes a few milliseconds. */
const requestsPerPart = 250;

/** Hands the state of a shard to a peer: finished requests while the owner acts, the rest once it stopped. */
export class HandoverSender {
  readonly #runtime: ProcessRuntime;
  readonly #isClaimConfirmed: () => boolean;
  #isPreparing = false;

  /**
   * @param runtime - the process
   * @param isClaimed - whether the store confirmed the claim a moment ago
   */
  public constructor(runtime: ProcessRuntime, isClaimed: () => boolean) {
    this.#runtime = runtime;
    this.#isClaimConfirmed = isClaimed;
  }

  /** Whether the owner still acts while a peer gets the finished requests. */
  public get isPreparing(): boolean {
    return this.#isPreparing;
  }

  /**
   * Asks a peer whether it can take a shard over.
   *
   * @param peer - link to the peer
   * @returns true if it answered that it is ready
   */
  public async checkReady(peer: Link): Promise<boolean> {
    const status = await peer.call({ call: 'status' }, callTimeoutMs);
    return status.isOk() && status.value.reply === 'status' && status.value.status.ready;
  }

  /**
   * Hands the state to the first peer that takes it. The owner acts no more afterwards.
   *
   * @param host - the ownership that ends
   * @param peers - links to the peers
   * @returns whether a peer took the state
   */
  public async send(host: ShardRunner, peers: readonly Link[]): Promise<boolean> {
    const [peer] = peers;
    this.#isPreparing = true;
    const sent = peer === undefined ? undefined : await this.#sendFinishedRequests(host, peer);
    this.#isPreparing = false;
    if (!host.isActive) return false;
    const rest = await host.freeze(sent);
    const isTaken =
      peer !== undefined &&
      sent !== undefined &&
      (await this.#sendParts(peer, splitSnapshot(rest, this.#isClaimConfirmed())));
    const whole = isTaken ? [] : splitSnapshot(await host.freeze(), this.#isClaimConfirmed());
    const taker = isTaken ? peer : await this.#sendToFirst(whole, peers);
    if (taker === undefined) return false;
    const { shard, epoch } = rest;
    const detail = taker.peer?.process ?? '';
    this.#runtime.recorder.record('claimHandedOver', { shard, epoch, detail });
    return true;
  }

  /**
   * Sends the finished requests while this process still acts: after a busy time they are most of the
   * state. The small parts leave time for decisions in between.
   */
  async #sendFinishedRequests(
    host: ShardRunner,
    peer: Link,
  ): Promise<ReadonlySet<string> | undefined> {
    const { clock, settings } = this.#runtime;
    const endsAt = clock.now() + maxPreparationMs;
    const { name: shard, epoch } = host.shard;
    const part = {
      shard,
      epoch,
      owner: settings.process,
      drained: [],
      allotments: {},
      reports: [],
    };
    const sent = new Set<string>();
    let requests: HeldRequest[] = [];
    const send = async (): Promise<boolean> => {
      const calls = splitSnapshot({ ...part, requests }, this.#isClaimConfirmed(), false);
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
      const reply = await peer.call(call, callTimeoutMs);
      if (reply.isErr() || reply.value.reply !== 'done') return false;
    }
    return true;
  }
}
