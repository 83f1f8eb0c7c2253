import type { Allotments, Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { zeroResources } from './zeroResources.js';

/**
 * Sums the allotments of a team over all shards.
 *
 * @param record - record of the allotments of all shards
 * @param team - name of the team
 * @returns the sum
 */
export const sumAllotments = (record: Allotments, team: string): Resources =>
  Object.values(record.teams[team] ?? {}).reduce(addResources, zeroResources);
