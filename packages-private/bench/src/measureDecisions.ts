import { build } from 'hdr-histogram-js';
import { createRequests } from './createRequests.js';
import { createWorkers } from './createWorkers.js';
import { SeededRandom } from './SeededRandom.js';
import { ShardSimulation } from './ShardSimulation.js';
import { VirtualClock } from './VirtualClock.js';

/** Cost of decisions on a full fleet with a long queue; durations in microseconds. */
interface DecisionCost {
  readonly decisions: number;
  readonly perSecond: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
}

const queueLength = 10_000;
const teams = 230;
const warmUpRounds = 500;
const roundsPerTick = 250;
/** Upper bound on the warm-up in real time, for slow implementations. */
const maxWarmUpMs = 2000;
const maxDecisions = 10_000;
/** Upper bound on the measurement in real time, for slow implementations. */
const maxMeasureMs = 12_000;
const nsPerUs = 1000;

/**
 * Measures single decisions on a full fleet: a task ends, and the core dispatches until nothing more fits;
 * a new request replaces each one that starts. The cost includes every dispatch call, also those that
 * start nothing; a decision is a call that starts a request.
 *
 * @param workers - number of workers
 * @param seed - seed of the requests and choices
 * @returns cost of the decisions after the warm-up
 */
export const measureDecisions = async (workers: number, seed: number): Promise<DecisionCost> => {
  const random = new SeededRandom(seed);
  const clock = new VirtualClock();
  const simulation = new ShardSimulation(createWorkers(workers), teams, clock, random);
  const { shard } = simulation;
  // The fleet starts some of the waiting requests, so the second pass refills the queue once the fleet is
  // full.
  let next = 0;
  const submitOne = (): void => {
    const [request] = createRequests(1, teams, random, `q${next}-`);
    next += 1;
    if (request !== undefined) simulation.submit(request);
  };
  const running: ReturnType<ShardSimulation['takeStartedTasks']>[number][] = [];
  const fillFleet = (): void => {
    while (shard.dispatch(100)) running.push(...simulation.takeStartedTasks());
    running.push(...simulation.takeStartedTasks());
  };
  for (let pass = 0; pass < 2; pass += 1) {
    while (shard.describeLoad().waiting < queueLength) {
      const missing = queueLength - shard.describeLoad().waiting;
      for (let index = 0; index < missing; index += 1) submitOne();
      if (pass === 0) fillFleet();
    }
  }
  fillFleet();
  const histogram = build({
    highestTrackableValue: 60_000_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const beginsAt = performance.now();
  let decisions = 0;
  let rounds = 0;
  let totalNs = 0;
  while (decisions < maxDecisions && performance.now() - beginsAt < maxMeasureMs) {
    rounds += 1;
    const isWarmUp = rounds <= warmUpRounds && performance.now() - beginsAt < maxWarmUpMs;
    clock.advanceTo(clock.now() + 1);
    // Advances the averages of the fair share, which changes the ranks of all teams.
    if (rounds % roundsPerTick === 0) shard.tick();
    const position = Math.floor(random.next() * running.length);
    const ended = running[position];
    const last = running.pop();
    if (ended === undefined || last === undefined) break;
    if (ended !== last) running[position] = last;
    simulation.completeTask(ended);
    for (let hasStarted = true; hasStarted;) {
      const startsAt = process.hrtime.bigint();
      hasStarted = shard.dispatch(1);
      const ns = Number(process.hrtime.bigint() - startsAt);
      if (hasStarted) submitOne();
      if (isWarmUp) continue;
      totalNs += ns;
      histogram.recordValue(ns);
      if (hasStarted) decisions += 1;
    }
    running.push(...simulation.takeStartedTasks());
    // Lets promises of the event stream settle outside the measured calls.
    if (rounds % 100 === 0) await new Promise(setImmediate);
  }
  return {
    decisions,
    perSecond: (decisions / totalNs) * 1e9,
    meanUs: totalNs / decisions / nsPerUs,
    p50Us: histogram.getValueAtPercentile(50) / nsPerUs,
    p99Us: histogram.getValueAtPercentile(99) / nsPerUs,
    maxUs: histogram.maxValue / nsPerUs,
  };
};
