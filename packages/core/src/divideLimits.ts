import type { Resources } from '@toucanline/schema';
import type { Policy } from './Policy.js';
import { scaleResources } from './scaleResources.js';

/**
 * Divides the limit of each team evenly over all shards.
 *
 * @param policy - policy in effect
 * @returns allotment per team with a limit
 */
export const divideLimits = (policy: Policy): ReadonlyMap<string, Resources> => {
  const allotments = new Map<string, Resources>();
  for (const [team, { limit }] of Object.entries(policy.document.teams)) {
    if (limit !== undefined) allotments.set(team, scaleResources(limit, 1 / policy.shards.length));
  }
  return allotments;
};
