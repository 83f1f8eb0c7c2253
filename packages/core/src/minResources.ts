import type { Resources } from '@toucanline/schema';

/**
 * Takes the smaller amount of each resource.
 *
 * @param left - first amount
 * @param right - second amount
 * @returns the minimum per resource
 */
export const minResources = (left: Resources, right: Resources): Resources => ({
  processors: Math.min(left.processors, right.processors),
  memoryMb: Math.min(left.memoryMb, right.memoryMb),
  accelerators: Math.min(left.accelerators, right.accelerators),
});
