import { expect } from 'chai';
import { createReport } from '../src/createReport.js';
import { createRequest } from '../src/createRequest.js';
import { calculateEntitlementRatios } from '../src/calculateEntitlementRatios.js';
import { SiteStatistics } from '../src/SiteStatistics.js';

const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const size = { processors: 1, memoryMb: 1, accelerators: 0 };
const period = { measuredFromMs: 100, durationMs: 300, stepMs: 100 };

describe('SiteRecord', () => {
  // Guards against speeds of workers and the end of the trace that look like a distance from the share.
  it('finds teams that never wait at their shares', () => {
    const record = new SiteStatistics([createReport('w0', 'r0', room, 0.5)]);
    // Team b is on a worker of half the speed; team c arrives when half of the time is over.
    const arrivals = [
      { request: createRequest('q0', 'a', size, 200), arrivesAt: 100, shard: 0, runMs: 200 },
      { request: createRequest('q1', 'b', size, 100), arrivesAt: 100, shard: 0, runMs: 100 },
      { request: createRequest('q2', 'c', size, 200), arrivesAt: 200, shard: 0, runMs: 200 },
    ];
    const speeds = [1, 0.5, 1];
    for (const nowMs of [100, 200]) {
      arrivals.forEach(({ request, arrivesAt }, index) => {
        if (arrivesAt === nowMs) record.recordStart(request, 0, nowMs, speeds[index] ?? 1);
      });
      record.sample();
    }
    const teams = new Map(
      ['a', 'b', 'c'].map((team) => {
        const list = arrivals.filter(({ request }) => request.team === team);
        return [team, record.summariseTeam(team, list, period)];
      }),
    );
    for (const part of calculateEntitlementRatios(teams).values())
      expect(part).to.be.closeTo(1, 1e-9);
  });
});
