import type { Resources } from '@toucanline/schema';

/**
 * Multiplies an amount.
 *
 * @param amount - amount per unit
 * @param factor - number of units
 * @returns the product per resource
 */
export const scaleResources = (amount: Resources, factor: number): Resources => ({
  processors: amount.processors * factor,
  memoryMb: amount.memoryMb * factor,
  accelerators: amount.accelerators * factor,
});
