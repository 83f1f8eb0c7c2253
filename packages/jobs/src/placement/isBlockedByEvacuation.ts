import type { PermitCache } from '../PermitCache.js';
import { resources } from '../resources.js';
import type { StepInstance } from '../StepInstance.js';
import type { Worker } from '../Worker.js';

/** Workers that match a step, whether or not they accept tasks at the moment. */
interface MatchingWorkers {
  /** Workers outside the evacuated data centres. */
  readonly staying: readonly Worker[];
  /** Workers in evacuated data centres. */
  readonly evacuated: readonly Worker[];
}

/**
 * Checks whether the evacuation is the reason why a step cannot start: it does not fit on the other workers even if they
 * are empty, but fits if the evacuated ones are counted as well. A gang must fit as a whole, other steps with one task.
 *
 * @param step - step with waiting tasks
 * @param matching - workers that match its service and label
 * @param permits - verdicts of the placement policy; a worker without one counts as allowed
 * @returns whether the step waits for the end of an evacuation
 */
export const isBlockedByEvacuation = (
  step: StepInstance,
  { staying, evacuated }: MatchingWorkers,
  permits: PermitCache,
): boolean => {
  if (evacuated.length === 0) return false;
  const needed = step.description.isGang === true ? step.tasks.length : 1;
  const allowed = new Set(permits.listAllowed(step.key));
  const isUsable = (worker: Worker): boolean =>
    allowed.has(worker) || !permits.hasVerdict(step.key, worker);
  const stayingSlots = countSlots(step, staying, isUsable, needed);
  if (stayingSlots >= needed) return false;
  const missing = needed - stayingSlots;
  return countSlots(step, evacuated, isUsable, missing) >= missing;
};

/** Counts the tasks of a step that fit on the empty workers, up to a number. */
const countSlots = (
  { description: { size, maxPerWorker = Infinity } }: StepInstance,
  workers: readonly Worker[],
  isUsable: (worker: Worker) => boolean,
  enough: number,
): number => {
  let slots = 0;
  for (const worker of workers) {
    if (slots >= enough) break;
    const fitting = Math.min(maxPerWorker, resources.countFitting(size, worker.entry.capacity));
    if (fitting > 0 && isUsable(worker)) slots += fitting;
  }
  return slots;
};
