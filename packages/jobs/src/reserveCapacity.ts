import type { PendingStep } from './PendingStep.js';
import { isLargeTask } from './isLargeTask.js';
import type { PlanningPass } from './PlanningPass.js';
import type { Reservations } from './Reservations.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** A gang that is larger than all its workers together must not keep them from others. */
const hasCapacityForGang = (step: StepInstance, allowed: readonly Worker[]): boolean => {
  const { size } = step.description;
  const places = allowed.reduce(
    (sum, { entry }) => sum + resources.countFitting(size, entry.capacity),
    0,
  );
  return places >= step.tasks.length;
};

const findEarliestFit = (
  step: StepInstance,
  allowed: readonly Worker[],
  reservations: Reservations,
): Worker | undefined => {
  const { size } = step.description;
  let best: Worker | undefined;
  let bestFree = -Infinity;
  for (const worker of allowed) {
    const { capacity } = worker.entry;
    if (!isLargeTask(size, capacity)) continue;
    const free = resources.toProcessorEquivalents(reservations.freeOn(worker));
    // A worker whose whole capacity is spoken for helps nobody sooner.
    if (free <= bestFree || free <= -resources.toProcessorEquivalents(capacity)) continue;
    best = worker;
    bestFree = free;
  }
  return best;
};

/**
 * Makes room for tasks that fit nowhere: stops less urgent work, or reserves room where a large task will fit
 * first, so that small tasks do not take it piece by piece.
 *
 * @param demand - the step
 * @param allowed - workers on which it may run
 * @param missing - tasks without room
 * @param pass - the planning pass
 * @returns workers on which room was reserved
 */
export const reserveCapacity = (
  demand: PendingStep,
  allowed: readonly Worker[],
  missing: number,
  { now, reservations, preemption }: PlanningPass,
): readonly Worker[] => {
  const { step, punctuality } = demand;
  const { isGang, isOpportunistic } = step.description;
  if (isOpportunistic === true || punctuality === 'hopeless' || step.job.isOverRate) return [];
  if (isGang === true && (missing < step.tasks.length || !hasCapacityForGang(step, allowed)))
    return [];
  const waited: Worker[] = [];
  for (let count = 0; count < missing; count += 1) {
    const canStop =
      punctuality === 'onTime' && preemption.victims.size < schedulingLimits.maxPreemptionsPerPass;
    if (canStop && preemption.preemptFor(demand, allowed, now)) continue;
    const worker = findEarliestFit(step, allowed, reservations);
    if (worker === undefined) break;
    reservations.reserve(worker, step.description.size);
    waited.push(worker);
  }
  return waited;
};
