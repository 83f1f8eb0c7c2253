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
 * Runs the core and the baselines over one trace.
 *
 * @param profile - fleet and work of the user
 * @param arrivals - the trace
 * @param period - time of the simulation
 * @param random - source of the choices of the core and of the random baseline
 * @returns what each scheduler did: the core, first fit in arrival order, first fit that passes blocked
 * requests, random worker, static equal allotments
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
