import { RebalancePlanner, type Clock, type Router } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import type { ShardCandidate } from './ShardCandidate.js';

/** Silence after which an owner is not considered alive. */
const ownerSilenceTimeoutMs = 3000;

/** Dependencies of the balancer. */
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

/** Hands shards over until the schedulers of the data centre own equal numbers of them. */
export class ShardBalancer {
  readonly #dependencies: BalancerDependencies;
  readonly #planner: RebalancePlanner;
  #isMoving = false;

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: BalancerDependencies) {
    this.#dependencies = dependencies;
    this.#planner = new RebalancePlanner(dependencies.clock, dependencies.process);
  }

  /** Hands one shard over if a move is due. Called at a fixed interval. */
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
    try {
      await findCandidate(move.shard)?.handOverTo(peer);
    } finally {
      this.#isMoving = false;
    }
  }
}
