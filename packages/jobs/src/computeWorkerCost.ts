import type { PlacementRequest } from './PlacementRequest.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';

/** Cost of a task away from its data: the platform's factor is 3 at most, which adds two durations. */
const remoteDataCost = 2;
/** Cost of an empty worker against a full one: packs tasks tightly, but speed goes first. */
const emptyWorkerCost = 0.25;
/** Cost for each waiting task that depends on the worker: less than the difference between a fast and a slow worker. */
const contentionCost = 0.15;
/** Cost that sets workers on which a step becomes late behind all on which it does not. */
const missedDeadlineCost = 100;

/**
 * Rates a worker for the tasks of a step. Steps with time left are placed where speed matters least, so that the
 * fast workers are free for work in a hurry.
 *
 * @param request - the step and the time that it has left
 * @param worker - the worker
 * @returns cost; lower is better
 */
export const computeWorkerCost = (request: PlacementRequest, worker: Worker): number => {
  const { step, expectedMs, leftMs, contention } = request;
  const { preferredRack } = step.description;
  const isFar = preferredRack !== undefined && worker.rack !== preferredRack;
  const { milliProcessors } = worker.entry.capacity;
  const looseness = milliProcessors > 0 ? worker.free.milliProcessors / milliProcessors : 0;
  const far = isFar ? 1 + remoteDataCost : 1;
  const { durationFactor: factor } = worker.speed;
  const isInTime = expectedMs * factor * far * schedulingLimits.placementSafetyFactor <= leftMs;
  const comfort = looseness * emptyWorkerCost + contention.findWeight(worker) * contentionCost;
  return (isInTime ? far - factor : missedDeadlineCost + factor * far) + comfort;
};
