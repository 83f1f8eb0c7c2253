import type { Resources } from '@toucanline/schema';
import type { TeamSummary } from './TeamSummary.js';
import type { WaitSummary } from './WaitSummary.js';

/** What a scheduler did with a trace. */
export interface SiteResult {
  readonly name: string;
  /** Mean allocated part of each resource. */
  readonly allocated: Resources;
  readonly waits: ReadonlyMap<string, WaitSummary>;
  readonly teamWaits: ReadonlyMap<string, WaitSummary>;
  readonly teams: ReadonlyMap<string, TeamSummary>;
}
