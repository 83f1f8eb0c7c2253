import { expect } from 'chai';
import { createReport } from '../src/createReport.js';
import { createRequest } from '../src/createRequest.js';
import { calculateEntitlementRatios } from '../src/calculateEntitlementRatios.js';
import { SiteStatistics } from '../src/SiteStatistics.js';

const capacity = { processors: 4, memoryMb: 4, accelerators: 0 };
const size = { processors: 1, memoryMb: 1, accelerators: 0 };
const period = { measuredFromMs: 100, durationMs: 300, stepMs: 100 };

describe('SiteStatistics', () => {
  // Guards against counting slow workers, or requests cut off by the end of the trace, as deviations from
  // the share.
  it('reports teams that never wait as using their full entitlement', () => {
    const statistics = new SiteStatistics([createReport('w0', 'r0', capacity, 0.5)]);
    // Team b runs on a worker of half the speed; team c arrives halfway through the measured period.
    const arrivals = [
      { request: createRequest('q0', 'a', size, 200), arrivesAt: 100, shard: 0, runMs: 200 },
      { request: createRequest('q1', 'b', size, 100), arrivesAt: 100, shard: 0, runMs: 100 },
      { request: createRequest('q2', 'c', size, 200), arrivesAt: 200, shard: 0, runMs: 200 },
    ];
    const speeds = [1, 0.5, 1];
    for (const nowMs of [100, 200]) {
      arrivals.forEach(({ request, arrivesAt }, index) => {
        if (arrivesAt === nowMs) statistics.recordStart(request, 0, nowMs, speeds[index] ?? 1);
      });
      statistics.sample();
    }
    const teams = new Map(
      ['a', 'b', 'c'].map((team) => {
        const list = arrivals.filter(({ request }) => request.team === team);
        return [team, statistics.summariseTeam(team, list, period)];
      }),
    );
    for (const ratio of calculateEntitlementRatios(teams).values())
      expect(ratio).to.be.closeTo(1, 1e-9);
  });
});
