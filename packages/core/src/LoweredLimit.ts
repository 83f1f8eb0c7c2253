import type { Resources } from '@toucanline/schema';

/** What a team has to shrink to in one shard, because the allotments exceed its limit. */
export interface LoweredLimit {
  /** Amount to shrink to. */
  readonly target: Resources;
  /** Local monotonic time since which the limit is exceeded, in milliseconds. */
  readonly exceededSince: number;
}
