import type { ProcessRuntime } from '@toucanline/runtime';
import type { HandoverCall, HeldRequest } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { splitSnapshot } from './splitSnapshot.js';
import type { ShardRunner } from './ShardRunner.js';

const callTimeoutMs = 1000;
/** Maximum time for sending finished requests before the owner stops acting. */
const maxPreparationMs = 3000;
/** Number of finished requests in one part; their description takes a few milliseconds. */
const requestsPerPart = 250;

/**
 * Hands the state of a shard over to a peer: finished requests while the owner acts, the rest once it has stopped.
 */
export class HandoverSender {
  readonly #runtime: ProcessRuntime;
  readonly #isClaimConfirmed: () => boolean;
  #isPreparing = false;

  /**
   * @param runtime - runtime of the process
   * @param isClaimConfirmed - checks whether the claim is confirmed by the store
   */
  public constructor(runtime: ProcessRuntime, isClaimConfirmed: () => boolean) {
    this.#runtime = runtime;
    this.#isClaimConfirmed = isClaimConfirmed;
  }

  /** Whether finished requests are being sent to a peer while the owner still acts. */
  public get isPreparing(): boolean {
    return this.#isPreparing;
  }

  /**
   * Requests the status of a peer to check whether it can accept a shard.
   *
   * @param peer - link to the peer
   * @returns true if the peer replied that it is ready
   */
  public async checkReady(peer: Link): Promise<boolean> {
    const status = await peer.call({ call: 'status' }, callTimeoutMs);
    return status.isOk() && status.value.reply === 'status' && status.value.status.ready;
  }

  /**
   * Hands the state over to the first peer that accepts it. The owner does not act afterwards.
   *
   * @param runner - runner of the shard
   * @param peers - links to the peers, in the order in which they are tried
   * @returns whether a peer accepted the state
   */
  public async send(runner: ShardRunner, peers: readonly Link[]): Promise<boolean> {
    const [peer] = peers;
    this.#isPreparing = true;
    const prepared = peer === undefined ? undefined : this.#sendFinishedRequests(runner, peer);
    const sent = await Promise.resolve(prepared).finally(() => {
      this.#isPreparing = false;
    });
    if (!runner.isActive) return false;
    const remaining = await runner.freeze(sent);
    const isAccepted =
      peer !== undefined &&
      sent !== undefined &&
      (await this.#sendParts(peer, splitSnapshot(remaining, this.#isClaimConfirmed())));
    const calls = isAccepted ? [] : splitSnapshot(await runner.freeze(), this.#isClaimConfirmed());
    const recipient = isAccepted ? peer : await this.#sendToFirst(calls, peers);
    if (recipient === undefined) return false;
    const { shard, epoch } = remaining;
    const detail = recipient.peer?.process ?? '';
    this.#runtime.recorder.record('claimHandedOver', { shard, epoch, detail });
    return true;
  }

  /**
   * Sends the finished requests while this process still acts: after a busy time they are most of the state. The
   * parts are small, so that decisions are made in between.
   *
   * @returns identifiers of the requests that were sent; undefined if the peer did not accept them
   */
  async #sendFinishedRequests(
    runner: ShardRunner,
    peer: Link,
  ): Promise<ReadonlySet<string> | undefined> {
    const { clock, settings } = this.#runtime;
    const endsAt = clock.now() + maxPreparationMs;
    const { name: shard, epoch } = runner.shard;
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
    for (const request of runner.shard.describeFinished()) {
      requests.push(request);
      if (requests.length < requestsPerPart) continue;
      if (!(await send())) return undefined;
      if (!runner.isActive || clock.now() > endsAt) return sent;
    }
    return (await send()) ? sent : undefined;
  }

  /** Sends all parts to the first peer that accepts them, and returns the link to it. */
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
