import type { Report } from '@toucanline/schema';
import type { WorkShape } from './WorkShape.js';

/** Fleet and work of one user. */
export interface SiteProfile {
  readonly name: string;
  /** First reports of the workers of each data centre, which is one shard. */
  readonly shards: readonly (readonly Report[])[];
  /** Part of the requests of each team; all have the same share. */
  readonly teams: Readonly<Record<string, number>>;
  readonly shapes: readonly WorkShape[];
}
