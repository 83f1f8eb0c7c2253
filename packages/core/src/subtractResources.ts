import type { Resources } from '@toucanline/schema';

/**
 * Subtracts one amount from another. Results below zero, such as by rounding errors, are clamped to zero.
 *
 * @param left - amount to subtract from
 * @param right - amount to subtract
 * @returns the difference per resource, at least zero
 */
export const subtractResources = (left: Resources, right: Resources): Resources => ({
  processors: Math.max(0, left.processors - right.processors),
  memoryMb: Math.max(0, left.memoryMb - right.memoryMb),
  accelerators: Math.max(0, left.accelerators - right.accelerators),
});
