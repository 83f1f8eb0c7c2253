import type { Report } from '@toucanline/schema';
import type { WorkShape } from './WorkShape.js';

/** Fleet, teams and requests of the site of one user. */
export interface SiteProfile {
  readonly name: string;
  /** Initial reports of the workers per shard; each data centre is one shard. */
  readonly shards: readonly (readonly Report[])[];
  /** Weight of each team in the number of requests; all teams have equal shares. */
  readonly teams: Readonly<Record<string, number>>;
  readonly shapes: readonly WorkShape[];
}
