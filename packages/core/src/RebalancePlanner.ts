import type { Clock } from './Clock.js';
import { periods } from './periods.js';

/** Ownership of a shard. */
interface ShardOwner {
  readonly process: string;
  readonly epoch: number;
}

/** What a scheduler knows about the shards of its data centre. */
interface ClusterView {
  readonly shards: readonly string[];
  /** Owners that are alive, by shard. */
  readonly owners: ReadonlyMap<string, ShardOwner>;
  /** Schedulers that are alive, this one included. */
  readonly members: readonly string[];
}

/** A shard to hand over. */
interface ShardMove {
  readonly shard: string;
  readonly to: string;
}

/**
 * Decides when a scheduler hands one of its shards to a peer, so that no scheduler of a data centre owns two
 * more than another, and so none more than the number of shards by the number of schedulers, rounded up.
 * The one with most shards gives to the one with fewest, one shard at a time, and only after owners and
 * members were the same for a while: a restart or a failover alone moves nothing.
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
   * Decides with the current view; to be asked regularly.
   *
   * @param view - what this scheduler knows
   * @returns the shard to hand over now, if any
   */
  public decide(view: ClusterView): ShardMove | undefined {
    const now = this.#clock.now();
    const seen = this.#serializeView(view);
    if (seen !== this.#lastView) {
      this.#lastView = seen;
      this.#stableSince = now;
    }
    if (now - this.#stableSince < periods.rebalanceStabilizationMs) return undefined;
    const move = this.#findMove(view);
    // A handover that fails changes nothing in the view, so it is not tried again at once.
    if (move !== undefined) this.#stableSince = now;
    return move;
  }

  #serializeView({ shards, owners, members }: ClusterView): string {
    const parts = shards.map((shard) => {
      const owner = owners.get(shard);
      return owner === undefined ? shard : `${shard} ${owner.process} ${owner.epoch}`;
    });
    return [...parts, ...[...members].sort()].join('\n');
  }

  #findMove({ shards, owners, members }: ClusterView): ShardMove | undefined {
    const owned = new Map<string, string[]>(members.map((member) => [member, []]));
    for (const shard of shards) {
      const list = owned.get(owners.get(shard)?.process ?? '');
      // A shard without an owner is about to be claimed; an owner that is no member may be cut off.
      if (list === undefined) return undefined;
      list.push(shard);
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
