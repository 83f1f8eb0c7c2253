import { Policy } from '@toucanline/core';
import type { Resources } from '@toucanline/schema';
import { createReport } from './createReport.js';
import { createRequest } from './createRequest.js';
import { ModelShard } from './ModelShard.js';
import { SeededRandom } from './SeededRandom.js';
import { VirtualClock } from './VirtualClock.js';

const stepMs = 20;
const durationMs = 90_000;
const warmUpMs = 30_000;
/** Deadline of each request, relative to its arrival. */
const deadlineMs = 10_000;
const workers = 10;
const workerCapacity: Resources = { processors: 16, memoryMb: 64_000, accelerators: 0 };
const size: Resources = { processors: 1, memoryMb: 1000, accelerators: 0 };
const meanRunMs = 1000;

/**
 * Measures goodput: requests per second that succeed before their deadline.
 *
 * @param load - offered load as a multiple of the capacity of the workers
 * @param seed - seed of arrivals and run times
 * @returns succeeded requests per second after the warm-up
 */
export const measureGoodput = (load: number, seed: number): number => {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const policy = new Policy({
    schema: 1,
    shards: { dc1: { dataCentre: 'dc1' } },
    queues: { work: { kind: 'batch', idempotent: true } },
    teams: { a: { share: 2 }, b: { share: 1 } },
  });
  let succeeded = 0;
  const reports = Array.from({ length: workers }, (_, index) =>
    createReport(`w${index}`, 'rack', workerCapacity, 1),
  );
  const model = new ModelShard('dc1', policy, clock, random, reports, {
    getRunTimeMs: ({ request }) => request.runTimeMs,
    onEnd: (_assignment, state) => {
      if (state === 'succeeded' && clock.now() > warmUpMs) succeeded += 1;
    },
  });
  const arrivalsPerStep = (load * workers * workerCapacity.processors * stepMs) / meanRunMs;
  let pendingArrivals = 0;
  let next = 0;
  for (let time = 0; time < durationMs; time += stepMs) {
    clock.advance(stepMs);
    for (
      pendingArrivals += arrivalsPerStep * 2 * random.next();
      pendingArrivals >= 1;
      pendingArrivals -= 1
    ) {
      next += 1;
      const team = random.next() < 0.5 ? 'a' : 'b';
      const request = createRequest(`r${next}`, team, size, meanRunMs * (0.5 + random.next()));
      model.shard.submit({
        call: 'submit',
        shard: 'dc1',
        request,
        remainingMs: deadlineMs,
        detached: 'no',
      });
    }
    model.step();
  }
  return (succeeded * 1000) / (durationMs - warmUpMs);
};
