import type { Resources } from '@toucanline/schema';

/**
 * Takes the larger amount of each resource.
 *
 * @param left - first amount
 * @param right - second amount
 * @returns the maximum per resource
 */
export const maxResources = (left: Resources, right: Resources): Resources => ({
  processors: Math.max(left.processors, right.processors),
  memoryMb: Math.max(left.memoryMb, right.memoryMb),
  accelerators: Math.max(left.accelerators, right.accelerators),
});
