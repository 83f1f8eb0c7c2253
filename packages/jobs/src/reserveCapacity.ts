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

/** Worker on which a large task may wait, and its free capacity in processor equivalents. */
interface WaitingPlace {
  readonly worker: Worker;
  readonly free: number;
}

/**
 * Checks whether a reservation makes sense. On a worker whose whole capacity is reserved already, another one would not
 * be served sooner.
 */
const isReservable = ({ worker, free }: WaitingPlace): boolean =>
  free > -resources.toProcessorEquivalents(worker.entry.capacity);

/** Lists the workers for which the tasks are large, the one that is freed last first. */
const listWaitingPlaces = (
  step: StepInstance,
  allowed: readonly Worker[],
  reservations: Reservations,
): WaitingPlace[] => {
  const { size } = step.description;
  const places: WaitingPlace[] = [];
  for (const worker of allowed) {
    if (!isLargeTask(size, worker.entry.capacity)) continue;
    const free = resources.toProcessorEquivalents(reservations.freeOn(worker));
    if (isReservable({ worker, free })) places.push({ worker, free });
  }
  return places.sort((a, b) => a.free - b.free);
};

/** Inserts a place into a list that is sorted by free capacity, before places with the same one. */
const insertPlace = (places: WaitingPlace[], place: WaitingPlace): void => {
  let from = 0;
  let to = places.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if ((places[middle]?.free ?? 0) < place.free) from = middle + 1;
    else to = middle;
  }
  places.splice(from, 0, place);
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
  let count = 0;
  if (lateness === 'onTime') {
    while (
      count < missing &&
      preemption.victims.size < schedulingLimits.maxPreemptionsPerPass &&
      preemption.preemptFor(pending, allowed, now)
    )
      count += 1;
  }
  const { size } = step.description;
  const reservedWorkers: Worker[] = [];
  if (count >= missing) return reservedWorkers;
  const places = listWaitingPlaces(step, allowed, reservations);
  for (; count < missing; count += 1) {
    const earliest = places.pop();
    if (earliest === undefined) break;
    const { worker } = earliest;
    reservations.reserve(worker, size);
    reservedWorkers.push(worker);
    const place = { worker, free: earliest.free - resources.toProcessorEquivalents(size) };
    if (isReservable(place)) insertPlace(places, place);
  }
  return reservedWorkers;
};
