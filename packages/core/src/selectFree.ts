import type { Resources } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import { coversResources } from './coversResources.js';

/**
 * Selects the free capacity of a worker that a task may use.
 *
 * @param capacity - free capacity of the worker
 * @param size - size of the task
 * @param canUseReserve - whether the request of the task may use the accelerator reserve
 * @returns the free resources
 */
export const selectFree = (
  { free, unreserved, largeTaskSize }: Capacity,
  size: Resources,
  canUseReserve: boolean,
): Resources => (canUseReserve || !coversResources(largeTaskSize, size) ? free : unreserved);
