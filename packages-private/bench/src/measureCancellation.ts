import { createRequests } from './createRequests.js';
import { createWorkers } from './createWorkers.js';
import { SeededRandom } from './SeededRandom.js';
import { ShardSimulation } from './ShardSimulation.js';
import { VirtualClock } from './VirtualClock.js';

const waiting = 10_000;
const cancelled = 5000;
const teams = 230;

/**
 * Measures a burst of cancellations of waiting requests, the first decision after it included.
 *
 * @param workers - number of workers
 * @param seed - seed of the trace
 * @returns milliseconds for the burst of 5,000
 */
export const measureCancellation = async (workers: number, seed: number): Promise<number> => {
  const random = new SeededRandom(seed);
  const simulation = new ShardSimulation(createWorkers(workers), teams, new VirtualClock(), random);
  const requests = createRequests(waiting, teams, random, 'q');
  for (const request of requests) simulation.submit(request);
  await new Promise(setImmediate);
  const startsAt = performance.now();
  for (const { id } of requests.slice(waiting - cancelled)) simulation.shard.cancel(id);
  simulation.shard.dispatch(1);
  return performance.now() - startsAt;
};
