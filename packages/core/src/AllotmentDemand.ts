import type { Resources } from '@toucanline/schema';

/** Current use and unmet demand of a team in one shard. */
export interface AllotmentDemand {
  /** Sum of the declared sizes of running work. */
  readonly use: Resources;
  /** Sum of the declared sizes of waiting work that would fit into free capacity. */
  readonly demand: Resources;
}
