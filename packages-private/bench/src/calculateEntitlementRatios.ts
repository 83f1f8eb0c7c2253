import type { TeamSummary } from './TeamSummary.js';

const maxIterations = 60;

const sumUpTo = (demands: readonly number[], level: number): number =>
  demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);

/**
 * Measures how close teams with equal shares are to what is theirs. A team is entitled to its demand up
 * to a level; the level is such that the entitlements add up to what all teams used.
 *
 * @param teams - use and demand per team
 * @returns use as a part of the entitlement, per team
 */
export const calculateEntitlementRatios = (
  teams: ReadonlyMap<string, TeamSummary>,
): ReadonlyMap<string, number> => {
  const demands = [...teams.values()].map(({ demand }) => demand);
  const used = [...teams.values()].reduce((sum, { use }) => sum + use, 0);
  let low = 0;
  let high = Math.max(...demands);
  for (let iteration = 0; iteration < maxIterations; iteration += 1) {
    const middle = (low + high) / 2;
    if (sumUpTo(demands, middle) < used) low = middle;
    else high = middle;
  }
  return new Map([...teams].map(([team, { use, demand }]) => [team, use / Math.min(demand, high)]));
};
