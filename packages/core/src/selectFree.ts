import type { Resources } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import { coversResources } from './coversResources.js';

/**
 * Selects what a task may take of a worker.
 *
 * @param capacity - what the worker has left
 * @param size - size of the task
 * @param usesKept - whether its request may take what is kept beside free accelerators
 * @returns the amount
 */
export const selectFree = (
  { free, unreserved: open, largeTaskSize: largest }: Capacity,
  size: Resources,
  usesKept: boolean,
): Resources => (usesKept || !coversResources(largest, size) ? free : open);
