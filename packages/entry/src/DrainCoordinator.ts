import { createFailure, errorTable, type Clock, type Router } from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';
import type { DrainState, Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

/** Covers the replacement of a silent link (3 s) and a failover; below the timeout of the command line. */
const ownerTimeoutMs = 8000;
const callTimeoutMs = 2000;
const retryDelayMs = 200;

/** What the drains work with. */
interface DrainDependencies {
  readonly clock: Clock;
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Lists the shards of the document in effect. */
  readonly listShards: () => readonly string[];
}

/**
 * Carries an operator's drain to the owner of the worker's shard. Each owner is asked again until it answered,
 * because a drain may be repeated and a missing answer says nothing about the worker.
 */
export class DrainCoordinator {
  readonly #dependencies: DrainDependencies;

  /** @param parts - what the drains work with */
  public constructor(parts: DrainDependencies) {
    this.#dependencies = parts;
  }

  /**
   * Starts or ends a drain.
   *
   * @param worker - name of the worker
   * @param drained - whether it shall take no new work
   * @returns the state; `unknownWorker` if the owner of each shard answered that it does not know the worker;
   * `timeout` if an owner did not answer, so that the drain may or may not be in effect
   */
  public async setDrained(worker: string, drained: boolean): Promise<Result<DrainState, Failure>> {
    const { clock, listShards } = this.#dependencies;
    const endsAt = clock.now() + ownerTimeoutMs;
    const open = new Map(listShards().map((shard) => [shard, 'it was not asked']));
    for (;;) {
      const answers = await Promise.all(
        [...open.keys()].map(async (shard) => ({
          shard,
          answer: await this.#callOwner(shard, worker, drained),
        })),
      );
      for (const { shard, answer } of answers) {
        if (answer.isOk()) return ok(answer.value);
        if (answer.error.kind === 'unknownWorker') open.delete(shard);
        else if (!errorTable[answer.error.kind].retry) return err(answer.error);
        else open.set(shard, answer.error.detail);
      }
      if (open.size === 0) {
        return err(createFailure('unknownWorker', `no owner knows worker ${worker}`));
      }
      if (clock.now() + retryDelayMs > endsAt) break;
      await clock.sleep(retryDelayMs);
    }
    const silent = [...open].map(([shard, detail]) => `${shard} (${detail})`).join(', ');
    const detail = `no answer from the owner of ${silent}; repeat the command, also at another entry`;
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
      if (content.reply !== 'done') return err(createFailure('internal', 'unexpected reply'));
      return ok({ worker, drained, durable: content.durable === true });
    });
  }
}
