import type { Clock } from './Clock.js';
import { periods } from './periods.js';

/** Process that owns a shard, with the epoch of its ownership. */
interface ShardOwner {
  readonly process: string;
  readonly epoch: number;
}

/** State of the shards and schedulers of a data centre, as one scheduler sees it. */
interface ClusterView {
  readonly shards: readonly string[];
  /** Live owners by shard. */
  readonly owners: ReadonlyMap<string, ShardOwner>;
  /** Live schedulers, including this one. */
  readonly members: readonly string[];
}

/** Handover of one shard. */
interface ShardMove {
  readonly shard: string;
  /** Name of the scheduler that gets the shard. */
  readonly to: string;
}

/**
 * Decides when a scheduler hands one of its shards to a peer, so that the numbers of shards of any two schedulers
 * of a data centre differ by at most one. Each then owns at most the number of shards divided by the number of
 * schedulers, rounded up. The scheduler with the most shards hands one at a time to the scheduler with the
 * fewest, and only after owners and members were stable for a while, so that a restart or a failover alone moves
 * no shard.
 */
export class RebalancePlanner {
  readonly #clock: Clock;
  readonly #process: string;
  #lastView = '';
  #stableSince = -Infinity;

  /**
   * @param clock - source of time
   * @param process - name of this process
   */
  public constructor(clock: Clock, process: string) {
    this.#clock = clock;
    this.#process = process;
  }

  /**
   * Decides whether to hand over a shard. Has to be called at regular intervals.
   *
   * @param view - current view of this scheduler
   * @returns the shard to hand over now; undefined if there is none
   */
  public decide(view: ClusterView): ShardMove | undefined {
    const now = this.#clock.now();
    const serialized = this.#serializeView(view);
    if (serialized !== this.#lastView) {
      this.#lastView = serialized;
      this.#stableSince = now;
    }
    if (now - this.#stableSince < periods.rebalanceStabilizationMs) return undefined;
    const move = this.#findMove(view);
    // A failed handover does not change the view; the delay prevents that it is repeated at once.
    if (move !== undefined) this.#stableSince = now;
    return move;
  }

  #serializeView({ shards, owners, members }: ClusterView): string {
    const lines = shards.map((shard) => {
      const owner = owners.get(shard);
      return owner === undefined ? shard : `${shard} ${owner.process} ${owner.epoch}`;
    });
    return [...lines, ...[...members].sort()].join('\n');
  }

  #findMove({ shards, owners, members }: ClusterView): ShardMove | undefined {
    const owned = new Map<string, string[]>(members.map((member) => [member, []]));
    for (const shard of shards) {
      const ownedShards = owned.get(owners.get(shard)?.process ?? '');
      // A shard without an owner is about to be claimed; an owner that is not a member may be cut off.
      if (ownedShards === undefined) return undefined;
      ownedShards.push(shard);
    }
    const ranked = [...owned].sort(
      ([leftName, left], [rightName, right]) =>
        right.length - left.length || (leftName < rightName ? -1 : 1),
    );
    const [most] = ranked;
    const fewest = ranked.at(-1);
    if (most === undefined || fewest === undefined || most[0] !== this.#process) return undefined;
    const [shard] = most[1];
    const isUneven = most[1].length - fewest[1].length >= 2;
    return isUneven && shard !== undefined ? { shard, to: fewest[0] } : undefined;
  }
}
