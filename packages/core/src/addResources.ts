import type { Resources } from '@toucanline/schema';

/**
 * Adds two amounts.
 *
 * @param left - first amount
 * @param right - second amount
 * @returns the sum per resource
 */
export const addResources = (left: Resources, right: Resources): Resources => ({
  processors: left.processors + right.processors,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators,
});
