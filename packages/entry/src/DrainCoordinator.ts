import { createFailure, errorTable, type Clock, type Router } from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';
import type { DrainState, Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

/**
 * Time for the owners to reply: covers the replacement of a silent link (3 s) and a failover, and is below the timeout
 * of the command line.
 */
const ownerTimeoutMs = 8000;
const callTimeoutMs = 2000;
const retryDelayMs = 200;

/** Dependencies of the drain coordinator. */
interface DrainDependencies {
  readonly clock: Clock;
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Lists the shards of the configuration in effect. */
  readonly listShards: () => readonly string[];
}

/**
 * Forwards the drain command of an operator to the owner of the worker's shard. Each owner is called again until it
 * replies, because a drain may be repeated and a missing reply says nothing about the worker.
 */
export class DrainCoordinator {
  readonly #dependencies: DrainDependencies;

  /** @param dependencies - clock, router, peers and the list of shards */
  public constructor(dependencies: DrainDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Starts or ends a drain.
   *
   * @param worker - name of the worker
   * @param drained - true if the worker shall receive no new work
   * @returns the drain state; `unknownWorker` if the owner of each shard replied that it does not know the worker;
   * `timeout` if an owner did not reply, so that the drain may or may not be in effect
   */
  public async setDrained(worker: string, drained: boolean): Promise<Result<DrainState, Failure>> {
    const { clock, listShards } = this.#dependencies;
    const endsAt = clock.now() + ownerTimeoutMs;
    const unanswered = new Map(listShards().map((shard) => [shard, 'it was not called']));
    for (;;) {
      const replies = await Promise.all(
        [...unanswered.keys()].map(async (shard) => ({
          shard,
          reply: await this.#callOwner(shard, worker, drained),
        })),
      );
      for (const { shard, reply } of replies) {
        if (reply.isOk()) return ok(reply.value);
        if (reply.error.kind === 'unknownWorker') unanswered.delete(shard);
        else if (!errorTable[reply.error.kind].retry) return err(reply.error);
        else unanswered.set(shard, reply.error.detail);
      }
      if (unanswered.size === 0) {
        return err(createFailure('unknownWorker', `no owner knows worker ${worker}`));
      }
      if (clock.now() + retryDelayMs > endsAt) break;
      await clock.sleep(retryDelayMs);
    }
    const owners = [...unanswered].map(([shard, detail]) => `${shard} (${detail})`).join(', ');
    const detail = `no reply from the owner of ${owners}; repeat the command, or use another entry`;
    return err(createFailure('timeout', detail, 1));
  }

  async #callOwner(
    shard: string,
    worker: string,
    drained: boolean,
  ): Promise<Result<DrainState, Failure>> {
    const address = this.#dependencies.router.findLoad(shard)?.address;
    if (address === undefined) return err(createFailure('noOwner', 'no owner is known'));
    const body = { call: 'drain', shard, worker, drained } as const;
    const reply = await this.#dependencies.peers.call(address, body, callTimeoutMs);
    return reply.andThen((content) => {
      if (content.reply === 'failure') return err(content.failure);
      if (content.reply !== 'done')
        return err(createFailure('internal', 'unexpected reply of the owner'));
      return ok({ worker, drained, durable: content.durable === true });
    });
  }
}
