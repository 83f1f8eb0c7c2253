import type { Arrival } from './Arrival.js';
import { CoreModel } from './CoreModel.js';
import { FirstFitModel } from './FirstFitModel.js';
import type { Period } from './Period.js';
import { RandomWorkerModel } from './RandomWorkerModel.js';
import type { SchedulerModel } from './SchedulerModel.js';
import type { SeededRandom } from './SeededRandom.js';
import { simulateSite } from './simulateSite.js';
import type { SiteProfile } from './SiteProfile.js';
import type { SiteResult } from './SiteResult.js';
import { StaticAllotmentModel } from './StaticAllotmentModel.js';
import type { TaskObserver } from './TaskObserver.js';

/**
 * Simulates the core and the baselines on the same trace.
 *
 * @param profile - fleet, teams and requests of the site
 * @param arrivals - requests of the trace in arrival order
 * @param period - duration, warm-up and step of the simulation
 * @param random - source of the choices of the core and of the random baseline
 * @returns result of each scheduler: core, first fit in arrival order, first fit with backfilling, random
 * worker, static equal allotments
 */
export const compareSchedulers = (
  profile: SiteProfile,
  arrivals: readonly Arrival[],
  period: Period,
  random: SeededRandom,
): readonly SiteResult[] => {
  const { shards } = profile;
  const teams = Object.keys(profile.teams);
  const queues = new Map(profile.shapes.map(({ name, kind }) => [name, kind]));
  const creators: readonly ((observer: TaskObserver) => SchedulerModel)[] = [
    (observer) => new CoreModel(shards, { teams, queues }, observer, random),
    (observer) => new FirstFitModel(shards, observer, false),
    (observer) => new FirstFitModel(shards, observer, true),
    (observer) => new RandomWorkerModel(shards, observer, random),
    (observer) => new StaticAllotmentModel(shards, observer, teams.length),
  ];
  return creators.map((create) => simulateSite(profile, arrivals, period, create));
};
