import { createFailure, type Router, type TakeoverIndex } from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';
import type { CallBody, Failure, ReplyBody } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { OwnerReply } from './OwnerReply.js';

/** Dependencies of the owner client. */
interface CallDependencies {
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Reads the index of the work that other data centres took over from lost ones. */
  readonly readTakeovers: () => TakeoverIndex;
}

/** Finds the owner of the shard that holds a request, and calls the owner. */
export class OwnerClient {
  readonly #dependencies: CallDependencies;
  /** Shards that were asked to take over attached requests, by id of the request. */
  readonly #successors = new Map<string, string>();

  /** @param dependencies - router, peers and takeovers */
  public constructor(dependencies: CallDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Finds the shard that currently holds a request.
   *
   * @param requestId - identifier of the request
   * @returns name of the shard
   */
  public findShard(requestId: string): string {
    const successor =
      this.#dependencies.readTakeovers().findSuccessor(requestId) ??
      this.#successors.get(requestId);
    return successor ?? requestId.split('.')[0] ?? '';
  }

  /**
   * Records that a shard is asked to take over a request.
   *
   * @param requestId - identifier of the request
   * @param shard - name of the shard
   */
  public recordSuccessor(requestId: string, shard: string): void {
    this.#successors.set(requestId, shard);
  }

  /**
   * Removes the record of the shard that was asked to take over a request.
   *
   * @param requestId - identifier of the request
   */
  public removeSuccessor(requestId: string): void {
    this.#successors.delete(requestId);
  }

  /**
   * Calls the owner of the shard that holds a request.
   *
   * @param requestId - identifier of the request
   * @param body - the call
   * @param timeoutMs - longest wait for the reply, in milliseconds
   * @returns the view with the epoch of the owner; `notOwner` if nothing was sent because no owner is reachable; or the
   * failure of the call
   */
  public async call(
    requestId: string,
    body: CallBody,
    timeoutMs: number,
  ): Promise<Result<OwnerReply, Failure>> {
    const shard = this.findShard(requestId);
    const address = this.#dependencies.router.findLoad(shard)?.address;
    if (address === undefined) {
      return err(createFailure('notOwner', `no owner of shard ${shard} is known`, 1));
    }
    const reply = await this.#dependencies.peers.call(address, body, timeoutMs);
    return reply
      .mapErr((failure) =>
        failure.kind === 'noOwner' ? { ...failure, kind: 'notOwner' as const } : failure,
      )
      .andThen((content) => this.#readView(content, shard));
  }

  #readView(reply: ReplyBody, shard: string): Result<OwnerReply, Failure> {
    if (reply.reply === 'view') return ok({ view: reply.view, epoch: reply.epoch, shard });
    if (reply.reply === 'failure') return err(reply.failure);
    return err(createFailure('internal', `unexpected reply of the owner: ${reply.reply}`));
  }
}
