import { createRequests } from './createRequests.js';
import { createWorkers } from './createWorkers.js';
import { SeededRandom } from './SeededRandom.js';
import { ShardSimulation } from './ShardSimulation.js';
import { VirtualClock } from './VirtualClock.js';

const queueLength = 10_000;
const cancellations = 5000;
const teams = 230;

/**
 * Measures a burst of cancellations of queueLength requests, including the first decision after it.
 *
 * @param workers - number of workers
 * @param seed - seed of the requests
 * @returns duration for 5,000 cancellations in milliseconds
 */
export const measureCancellation = async (workers: number, seed: number): Promise<number> => {
  const random = new SeededRandom(seed);
  const simulation = new ShardSimulation(createWorkers(workers), teams, new VirtualClock(), random);
  const requests = createRequests(queueLength, teams, random, 'q');
  for (const request of requests) simulation.submit(request);
  await new Promise(setImmediate);
  const startsAt = performance.now();
  for (const { id } of requests.slice(queueLength - cancellations)) simulation.shard.cancel(id);
  simulation.shard.dispatch(1);
  return performance.now() - startsAt;
};
