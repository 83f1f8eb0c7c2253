import type { Resources } from '@toucanline/schema';

/** Target to which a team must reduce its use in one shard, because its allotments exceed its limit. */
export interface LoweredLimit {
  /** Amount to reduce to. */
  readonly target: Resources;
  /** Local monotonic time since which the limit has been exceeded, in milliseconds. */
  readonly exceededSince: number;
}
