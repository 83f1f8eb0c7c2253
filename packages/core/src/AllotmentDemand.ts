import type { Resources } from '@toucanline/schema';

/** What a team runs and wants in one shard. */
export interface AllotmentDemand {
  /** Declared size of running work. */
  readonly use: Resources;
  /** Declared size of waiting work that free capacity could take. */
  readonly demand: Resources;
}
