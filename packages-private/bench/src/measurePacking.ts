import { compareSchedulers } from './compareSchedulers.js';
import { createArrivals } from './createArrivals.js';
import { createRequests } from './createRequests.js';
import { createWorkers } from './createWorkers.js';
import { SeededRandom } from './SeededRandom.js';
import type { SiteProfile } from './SiteProfile.js';
import { siteProfiles } from './siteProfiles.js';
import type { SiteResult } from './SiteResult.js';

/** Results of all schedulers on one trace. */
interface PackingResult {
  readonly trace: string;
  readonly results: readonly SiteResult[];
}

const workers = 130;
const teams = 200;
const requests = 9000;
const backlogPeriod = { measuredFromMs: 300_000, durationMs: 1_200_000, stepMs: 1000 };
const sitePeriod = { measuredFromMs: 120_000, durationMs: 1_200_000, stepMs: 100 };
/** Offered load as a multiple of the fleet's capacity; above 1, so that the fleets are full. */
const siteLoad = 1.5;

/**
 * Measures packing on one large shard with mixed requests that all arrive at the start, so the fleet stays
 * full.
 */
const measureBacklog = (seed: number): PackingResult => {
  const random = new SeededRandom(seed);
  const names = Array.from({ length: teams }, (_, index) => `t${index}`);
  const profile: SiteProfile = {
    name: 'mixed',
    shards: [createWorkers(workers)],
    teams: Object.fromEntries(names.map((name) => [name, 1])),
    shapes: (['batch', 'service', 'gang'] as const).map((kind) => ({
      name: kind,
      weight: 1,
      kind,
      tasks: [1],
      sizes: [],
      runSeconds: [0, 0],
    })),
  };
  const arrivals = createRequests(requests, teams, random, 'q').map((request) => ({
    request,
    arrivesAt: 0,
    shard: 0,
    runMs: request.runTimeMs,
  }));
  return {
    trace: `mixed backlog, ${workers} workers, ${teams} teams`,
    results: compareSchedulers(profile, arrivals, backlogPeriod, random),
  };
};

/**
 * Compares how densely the core and the baselines pack full fleets on the same traces.
 *
 * @param seed - seed of the traces
 * @returns results of all schedulers per trace
 */
export const measurePacking = (seed: number): readonly PackingResult[] => [
  measureBacklog(seed),
  ...siteProfiles.map((profile) => {
    const random = new SeededRandom(seed);
    const arrivals = createArrivals(profile, siteLoad, sitePeriod.durationMs, random);
    return {
      trace: `${profile.name}, load ${siteLoad}`,
      results: compareSchedulers(profile, arrivals, sitePeriod, random),
    };
  }),
];
