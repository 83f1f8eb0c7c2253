import { calculateDominantShare, Policy } from '@toucanline/core';
import type { Assignment, Resources } from '@toucanline/schema';
import { createReport } from './createReport.js';
import { createRequest } from './createRequest.js';
import { ModelShard } from './ModelShard.js';
import { SeededRandom } from './SeededRandom.js';
import { VirtualClock } from './VirtualClock.js';

const stepMs = 20;
const loadExchangeMs = 500;
const warmUpMs = 60_000;
const measuredMs = 60_000;
const workersPerShard = 25;
/** Number of requests of each team that wait in each shard; keeps the fleet saturated. */
const backlogPerTeam = 40;
const workerCapacity: Resources = { processors: 16, memoryMb: 64_000, accelerators: 0 };
const shards = ['dc1', 'dc2', 'dc3', 'dc4'];
const weights: Readonly<Record<string, number>> = { a: 4, b: 3, c: 2, d: 1, e: 1, f: 1 };
/**
 * Processors per task, by position of the team; tasks of teams at odd positions need more memory per
 * processor.
 */
const sizes = [1, 2, 4, 1, 2, 1];

/** Fairness of the use of a fleet, measured against the shares of the teams. */
interface ShareFairness {
  /** Largest relative deviation of a team's use per share from the mean over all teams. */
  readonly worst: number;
  /** Jain fairness index of the weighted dominant shares; 1 is perfectly fair. */
  readonly jain: number;
}

/**
 * Measures how closely the use of each team follows its share during one minute on a saturated fleet.
 *
 * @param seed - seed of the run times and of the choices of the core
 * @returns the fairness of the measured use
 */
export const measureShares = (seed: number): ShareFairness => {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const policy = new Policy({
    schema: 1,
    shards: Object.fromEntries(shards.map((name) => [name, { dataCentre: name }])),
    queues: { work: { kind: 'batch', idempotent: true } },
    teams: Object.fromEntries(Object.entries(weights).map(([team, share]) => [team, { share }])),
  });
  const behaviour = {
    getRunTimeMs: ({ request }: Assignment) => request.runTimeMs,
    onEnd: () => undefined,
  };
  const models = shards.map((name) => {
    const reports = Array.from({ length: workersPerShard }, (_, index) =>
      createReport(`${name}-w${index}`, 'rack', workerCapacity, 1),
    );
    return new ModelShard(name, policy, clock, random, reports, behaviour);
  });
  const fleetCapacity: Resources = {
    processors: workerCapacity.processors * workersPerShard * shards.length,
    memoryMb: workerCapacity.memoryMb * workersPerShard * shards.length,
    accelerators: 0,
  };
  const totals = new Map<string, number>();
  let next = 0;
  const refillBacklog = (): void => {
    models.forEach(({ shard }) => {
      for (const [position, team] of Object.keys(weights).entries()) {
        const waitingProcessors = shard.describeLoad().demand[team]?.processors ?? 0;
        const processors = sizes[position] ?? 1;
        for (
          let missing = backlogPerTeam - waitingProcessors / processors;
          missing > 0;
          missing -= 1
        ) {
          next += 1;
          const memoryMb = position % 2 === 1 ? processors * 6000 : processors * 1000;
          const size = { processors, memoryMb, accelerators: 0 };
          const request = createRequest(`r${next}`, team, size, 500 + random.next() * 4500);
          shard.submit({
            call: 'submit',
            shard: shard.name,
            request,
            remainingMs: 600_000,
            detached: 'no',
          });
        }
      }
    });
  };
  for (let time = 0; time < warmUpMs + measuredMs; time += stepMs) {
    clock.advance(stepMs);
    const loads = models.map(({ shard }) => shard.describeLoad());
    if (time % 200 === 0) refillBacklog();
    for (const model of models) {
      const others = loads.filter(({ shard }) => shard !== model.shard.name);
      model.step(time % loadExchangeMs === 0 ? others : undefined);
    }
    if (time < warmUpMs) continue;
    for (const team of Object.keys(weights)) {
      const use = loads.reduce(
        (sum, load) => ({
          processors: sum.processors + (load.use[team]?.processors ?? 0),
          memoryMb: sum.memoryMb + (load.use[team]?.memoryMb ?? 0),
          accelerators: 0,
        }),
        { processors: 0, memoryMb: 0, accelerators: 0 },
      );
      totals.set(team, (totals.get(team) ?? 0) + calculateDominantShare(use, fleetCapacity));
    }
  }
  const weighted = Object.entries(weights).map(
    ([team, weight]) => (totals.get(team) ?? 0) / weight,
  );
  const sum = weighted.reduce((left, right) => left + right, 0);
  const mean = sum / weighted.length;
  const squares = weighted.reduce((left, right) => left + right * right, 0);
  return {
    worst: Math.max(...weighted.map((value) => Math.abs(value / mean - 1))),
    jain: (sum * sum) / (weighted.length * squares),
  };
};
