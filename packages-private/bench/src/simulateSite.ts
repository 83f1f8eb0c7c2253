import type { Arrival } from './Arrival.js';
import type { Period } from './Period.js';
import type { SchedulerModel } from './SchedulerModel.js';
import type { SiteProfile } from './SiteProfile.js';
import { SiteStatistics } from './SiteStatistics.js';
import type { SiteResult } from './SiteResult.js';
import type { TaskObserver } from './TaskObserver.js';

/**
 * Simulates one scheduler on a trace.
 *
 * @param profile - fleet, teams and requests of the site
 * @param arrivals - requests of the trace in arrival order
 * @param period - duration, warm-up and step of the simulation
 * @param create - creates the scheduler
 * @returns result of the scheduler
 */
export const simulateSite = (
  profile: SiteProfile,
  arrivals: readonly Arrival[],
  period: Period,
  create: (observer: TaskObserver) => SchedulerModel,
): SiteResult => {
  const { measuredFromMs, durationMs, stepMs } = period;
  const statistics = new SiteStatistics(profile.shards.flat());
  const model = create(statistics);
  let next = 0;
  for (let nowMs = 0; nowMs <= durationMs; nowMs += stepMs) {
    for (let due = arrivals[next]; due !== undefined && due.arrivesAt <= nowMs;) {
      model.submit(due);
      next += 1;
      due = arrivals[next];
    }
    model.step(nowMs);
    if (nowMs >= measuredFromMs) statistics.sample();
  }
  const measured = arrivals.filter(({ arrivesAt }) => arrivesAt >= measuredFromMs);
  const groupBy = (
    names: readonly string[],
    read: (arrival: Arrival) => string,
  ): ReadonlyMap<string, readonly Arrival[]> =>
    new Map(names.map((name) => [name, measured.filter((arrival) => read(arrival) === name)]));
  const readWaits = (groups: ReadonlyMap<string, readonly Arrival[]>): SiteResult['waits'] =>
    new Map([...groups].map(([name, list]) => [name, statistics.summariseWaits(list, durationMs)]));
  const byTeam = groupBy(Object.keys(profile.teams), ({ request }) => request.team);
  const byQueue = groupBy(
    profile.shapes.map(({ name }) => name),
    ({ request }) => request.queue,
  );
  return {
    name: model.name,
    allocated: statistics.allocated,
    waits: readWaits(new Map([...byQueue, ['all', measured]])),
    teamWaits: readWaits(byTeam),
    teams: new Map(
      [...byTeam.keys()].map((team) => {
        const list = arrivals.filter(({ request }) => request.team === team);
        return [team, statistics.summariseTeam(team, list, period)];
      }),
    ),
  };
};
