import type { PendingStep } from './PendingStep.js';
import { isLargeTask } from './isLargeTask.js';
import type { PlanningPass } from './PlanningPass.js';
import type { Reservations } from './Reservations.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** Checks whether a gang fits on its workers at all: one that never fits must not block them for other work. */
const hasCapacityForGang = (step: StepInstance, allowed: readonly Worker[]): boolean => {
  const { size } = step.description;
  const slots = allowed.reduce(
    (sum, { entry }) => sum + resources.countFitting(size, entry.capacity),
    0,
  );
  return slots >= step.tasks.length;
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
    // On a worker whose whole capacity is reserved already, another reservation would not be served sooner.
    if (free <= bestFree || free <= -resources.toProcessorEquivalents(capacity)) continue;
    best = worker;
    bestFree = free;
  }
  return best;
};

/**
 * Reserves capacity for tasks that fit on no worker: preempts less urgent work, or reserves capacity where a large task
 * will fit first, so that small tasks do not use it up bit by bit.
 *
 * @param pending - step whose tasks cannot be placed
 * @param allowed - workers on which it may run
 * @param missing - number of tasks that fit nowhere
 * @param pass - the planning pass
 * @returns workers on which capacity was reserved without preemption
 */
export const reserveCapacity = (
  pending: PendingStep,
  allowed: readonly Worker[],
  missing: number,
  { now, reservations, preemption }: PlanningPass,
): readonly Worker[] => {
  const { step, lateness } = pending;
  const { isGang, isOpportunistic } = step.description;
  if (isOpportunistic === true || lateness === 'hopeless' || step.job.isOverRate) return [];
  if (isGang === true && (missing < step.tasks.length || !hasCapacityForGang(step, allowed)))
    return [];
  const reservedWorkers: Worker[] = [];
  for (let count = 0; count < missing; count += 1) {
    const canStop =
      lateness === 'onTime' && preemption.victims.size < schedulingLimits.maxPreemptionsPerPass;
    if (canStop && preemption.preemptFor(pending, allowed, now)) continue;
    const worker = findEarliestFit(step, allowed, reservations);
    if (worker === undefined) break;
    reservations.reserve(worker, step.description.size);
    reservedWorkers.push(worker);
  }
  return reservedWorkers;
};
