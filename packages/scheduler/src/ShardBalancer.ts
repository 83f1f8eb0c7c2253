import { RebalancePlanner, type Clock, type Router } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import type { ShardCandidate } from './ShardCandidate.js';

/** Silence after which an owner does not count as alive. */
const ownerSilenceTimeoutMs = 3000;

/** Parts of the process that the balancer uses. */
interface BalancerDependencies {
  readonly clock: Clock;
  readonly process: string;
  readonly router: Router;
  /** Lists the shards of the data centre. */
  readonly listShards: () => readonly string[];
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  readonly findCandidate: (shard: string) => ShardCandidate | undefined;
}

/** Hands shards over until the schedulers of the data centre own equally many. */
export class ShardBalancer {
  readonly #dependencies: BalancerDependencies;
  readonly #planner: RebalancePlanner;
  #isMoving = false;

  /** @param parts - parts of the process */
  public constructor(parts: BalancerDependencies) {
    this.#dependencies = parts;
    this.#planner = new RebalancePlanner(parts.clock, parts.process);
  }

  /** Hands one shard over if that is due; to be called regularly. */
  public async balance(): Promise<void> {
    if (this.#isMoving) return;
    const { process, router, listShards, listPeers, findCandidate } = this.#dependencies;
    const shards = listShards();
    const owners = shards.flatMap((shard) => {
      const load = router.findLoad(shard);
      if (load === undefined || !router.hasLiveOwner(shard, ownerSilenceTimeoutMs)) return [];
      return [[shard, { process: load.owner, epoch: load.epoch }] as const];
    });
    const peers = new Map(listPeers().map((link) => [link.peer?.process ?? '', link]));
    const members = [process, ...peers.keys()];
    const move = this.#planner.decide({ shards, owners: new Map(owners), members });
    const peer = peers.get(move?.to ?? '');
    if (move === undefined || peer === undefined) return;
    this.#isMoving = true;
    await findCandidate(move.shard)?.handOverTo(peer);
    this.#isMoving = false;
  }
}
