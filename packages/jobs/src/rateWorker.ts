import type { StepRun } from './StepRun.js';
import type { Worker } from './Worker.js';

/** Cost of a task away from its data: the platform's factor is 3 at most, which adds two durations. */
const farCost = 2;
/** Cost of an empty worker against a full one: packs tasks tightly, but speed goes first. */
const looseCost = 0.25;

/**
 * Rates a worker for a task of a step.
 *
 * @param step - the step
 * @param worker - the worker
 * @returns expected duration relative to a sound worker near the data; lower is better
 */
export const rateWorker = (step: StepRun, worker: Worker): number => {
  const { preferredRack } = step.description;
  const isFar = preferredRack !== undefined && worker.rack !== preferredRack;
  const { milliProcessors } = worker.entry.capacity;
  const looseness = milliProcessors > 0 ? worker.free.milliProcessors / milliProcessors : 0;
  return worker.speed.factor * (isFar ? 1 + farCost : 1) + looseness * looseCost;
};
