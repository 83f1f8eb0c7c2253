import type { Room } from '@toucanline/schema';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';

/**
 * Checks whether a task is large for a worker on which it fits. Only large tasks wait for a certain worker: smaller
 * ones fit as soon as any task ends.
 *
 * @param size - resources of the task
 * @param capacity - total capacity of the worker
 * @returns whether the task fits on the empty worker and takes a large share of it
 */
export const isLargeTask = (size: Room, capacity: Room): boolean =>
  resources.fits(size, capacity) &&
  resources.toProcessorEquivalents(size) >=
    schedulingLimits.largeTaskShare * Math.max(1, resources.toProcessorEquivalents(capacity));
