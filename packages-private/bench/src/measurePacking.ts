import { addResources, scaleResources, subtractResources, zeroResources } from '@toucanline/core';
import type { Request, Resources } from '@toucanline/schema';
import { createRequests } from './createRequests.js';
import { createWorkers } from './createWorkers.js';
import { FirstFitSimulation } from './FirstFitSimulation.js';
import { SeededRandom } from './SeededRandom.js';
import { ShardSimulation } from './ShardSimulation.js';
import { VirtualClock } from './VirtualClock.js';

/** Allocated share of the dominant resource, averaged over time, per scheduler. */
interface PackingResult {
  readonly core: number;
  /** First fit in arrival order: a blocked request holds up those behind it. */
  readonly inOrder: number;
  /** First fit in arrival order in which later requests pass a blocked one. */
  readonly skipping: number;
}

/** What a scheduler under simulation offers. */
interface Simulated<T> {
  readonly submit: (request: Request) => void;
  readonly start: () => readonly T[];
  readonly finish: (task: T) => void;
  readonly readRequest: (task: T) => Request;
  readonly advanceTo: (nowMs: number) => void;
}

const workers = 130;
const teams = 200;
const requests = 9000;
const measuredFromMs = 300_000;
const measuredUntilMs = 1_200_000;
const stepMs = 1000;
/** Bound on one simulation of a slow version, in milliseconds of real time. */
const maxSimulationMs = 20_000;

/**
 * Runs one scheduler over the trace; the whole trace waits from the start, so the fleet stays full.
 * The result is NaN if the simulation takes too long.
 */
const simulate = <T>(
  trace: readonly Request[],
  room: Resources,
  simulated: Simulated<T>,
): number => {
  const endings = new Map<number, T[]>();
  let allocated = zeroResources;
  let sum = zeroResources;
  for (const request of trace) simulated.submit(request);
  const beginsAt = performance.now();
  for (let nowMs = 0; nowMs < measuredUntilMs; nowMs += stepMs) {
    if (performance.now() - beginsAt > maxSimulationMs) return NaN;
    simulated.advanceTo(nowMs);
    for (const task of endings.get(nowMs) ?? []) {
      simulated.finish(task);
      allocated = subtractResources(allocated, simulated.readRequest(task).size);
    }
    endings.delete(nowMs);
    for (const task of simulated.start()) {
      const { size, runTimeMs } = simulated.readRequest(task);
      allocated = addResources(allocated, size);
      const endsAt = nowMs + Math.max(1, Math.round(runTimeMs / stepMs)) * stepMs;
      const tasks = endings.get(endsAt) ?? [];
      endings.set(endsAt, tasks);
      tasks.push(task);
    }
    if (nowMs >= measuredFromMs) sum = addResources(sum, allocated);
  }
  const steps = (measuredUntilMs - measuredFromMs) / stepMs;
  const mean = scaleResources(sum, 1 / steps);
  return Math.max(
    mean.processors / room.processors,
    mean.memoryMb / room.memoryMb,
    mean.accelerators / room.accelerators,
  );
};

const simulateBaseline = (trace: readonly Request[], room: Resources, skips: boolean): number => {
  const baseline = new FirstFitSimulation(createWorkers(workers), skips);
  return simulate<ReturnType<FirstFitSimulation['dispatch']>[number]>(trace, room, {
    submit: (request) => {
      baseline.submit(request);
    },
    start: () => baseline.dispatch(),
    finish: (task) => {
      baseline.finish(task);
    },
    readRequest: ({ request }) => request,
    advanceTo: () => undefined,
  });
};

/**
 * Compares packing on a full fleet with first fit in arrival order on the same trace.
 *
 * @param seed - seed of the trace
 * @returns the shares
 */
export const measurePacking = (seed: number): PackingResult => {
  const random = new SeededRandom(seed);
  const trace = createRequests(requests, teams, random, 'q');
  const reports = createWorkers(workers);
  let room = zeroResources;
  for (const report of reports) room = addResources(room, report.room);
  const clock = new VirtualClock();
  const simulation = new ShardSimulation(reports, teams, clock, random);
  const core = simulate<ReturnType<ShardSimulation['takeStarts']>[number]>(trace, room, {
    submit: (request) => {
      simulation.submit(request);
    },
    start: () => {
      const endsAt = performance.now() + maxSimulationMs;
      while (simulation.shard.dispatch(1) && performance.now() < endsAt);
      return simulation.takeStarts();
    },
    finish: (task) => {
      simulation.finish(task);
    },
    readRequest: ({ assignment }) => assignment.request,
    advanceTo: (nowMs) => {
      clock.advanceTo(nowMs);
    },
  });
  return {
    core,
    inOrder: simulateBaseline(trace, room, false),
    skipping: simulateBaseline(trace, room, true),
  };
};
