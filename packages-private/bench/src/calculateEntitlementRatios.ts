import type { TeamSummary } from './TeamSummary.js';

const maxIterations = 60;

const sumCapped = (demands: readonly number[], level: number): number =>
  demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);

/**
 * Calculates how closely the use of teams with equal shares matches their entitlements. The entitlement of
 * a team is its demand, capped at a common level; the level is such that all entitlements add up to the
 * total use.
 *
 * @param teams - use and demand per team
 * @returns use divided by entitlement, per team
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
    if (sumCapped(demands, middle) < used) low = middle;
    else high = middle;
  }
  return new Map([...teams].map(([team, { use, demand }]) => [team, use / Math.min(demand, high)]));
};
