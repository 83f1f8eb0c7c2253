import type { Resources } from '@toucanline/schema';
import type { TeamSummary } from './TeamSummary.js';
import type { WaitSummary } from './WaitSummary.js';

/** Result of one scheduler on a trace. */
export interface SiteResult {
  /** Name of the scheduler. */
  readonly name: string;
  /** Mean allocated fraction of each resource. */
  readonly allocated: Resources;
  /** Waiting times per queue, and of all requests as `all`. */
  readonly waits: ReadonlyMap<string, WaitSummary>;
  readonly teamWaits: ReadonlyMap<string, WaitSummary>;
  readonly teams: ReadonlyMap<string, TeamSummary>;
}
