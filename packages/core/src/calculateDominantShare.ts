import type { Resources } from '@toucanline/schema';

const divide = (part: number, whole: number): number => (whole > 0 ? part / whole : 0);

/**
 * Calculates the dominant share of an amount: the largest fraction that it takes of any resource.
 *
 * @param amount - amount in use
 * @param capacity - capacity of the whole fleet
 * @returns a fraction, 0 for an empty fleet
 */
export const calculateDominantShare = (amount: Resources, capacity: Resources): number =>
  Math.max(
    divide(amount.processors, capacity.processors),
    divide(amount.memoryMb, capacity.memoryMb),
    divide(amount.accelerators, capacity.accelerators),
  );
