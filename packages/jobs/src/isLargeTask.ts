import type { Room } from '@toucanline/schema';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';

/**
 * Tells whether a task is large for a worker on which it fits. Only large tasks wait for a certain worker: smaller ones
 * find room as soon as anything ends.
 *
 * @param size - room of the task
 * @param capacity - whole room of the worker
 * @returns whether it is
 */
export const isLargeTask = (size: Room, capacity: Room): boolean =>
  resources.fits(size, capacity) &&
  resources.toProcessorEquivalents(size) >=
    schedulingLimits.largeTaskShare * Math.max(1, resources.toProcessorEquivalents(capacity));
