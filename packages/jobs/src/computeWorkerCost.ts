import { computeColdFactor } from './placement/computeColdFactor.js';
import type { PlacementRequest } from './PlacementRequest.js';
import type { Worker } from './Worker.js';

/** Cost of running a task away from its data: the platform's factor is at most 3, which adds two durations. */
const remoteDataCost = 2;
/** Cost of an empty worker relative to a full one: packs tasks tightly, but matters less than speed. */
const emptyWorkerCost = 0.25;
/** Cost of each waiting task that depends on the worker: less than the difference between a fast and a slow worker. */
const contentionCost = 0.15;
/**
 * Cost of a task that takes twice as long because the worker is cold: more than the difference between an empty and a
 * full worker, so that a data centre that returns to use does not get all work at once.
 */
const coldWorkerCost = 1;
/** Cost that ranks workers on which a step would be late behind all on which it would not. */
const missedDeadlineCost = 100;

/**
 * Computes the cost of placing the tasks of a step on a worker. Among the workers on which the step is in time, slower
 * ones cost less, so that the fast workers stay free for urgent work. Cold workers cost more: they are slow only for a
 * while, and warm up without work as well.
 *
 * @param request - step, time that it needs, and time left
 * @param worker - candidate worker
 * @returns cost; lower is better
 */
export const computeWorkerCost = (request: PlacementRequest, worker: Worker): number => {
  const { step, requiredMs, timeLeftMs, contention, computeColdLeftMs } = request;
  const { preferredRack } = step.description;
  const isRemote = preferredRack !== undefined && worker.rack !== preferredRack;
  const { milliProcessors } = worker.entry.capacity;
  const freeShare = milliProcessors > 0 ? worker.free.milliProcessors / milliProcessors : 0;
  const dataCost = isRemote ? 1 + remoteDataCost : 1;
  const { durationFactor: slowdown } = worker.speed;
  const warmMs = requiredMs * slowdown * dataCost;
  const coldFactor = computeColdFactor(warmMs, computeColdLeftMs(worker));
  const isInTime = warmMs * coldFactor <= timeLeftMs;
  const extraCost =
    freeShare * emptyWorkerCost +
    contention.findWeight(worker) * contentionCost +
    (coldFactor - 1) * coldWorkerCost;
  return (isInTime ? dataCost - slowdown : missedDeadlineCost + slowdown * dataCost) + extraCost;
};
