import type { Resources } from '@toucanline/schema';

const divide = (part: number, whole: number): number => (whole > 0 ? part / whole : 0);

/**
 * Calculates the dominant share of an amount: the largest fraction of any resource that it uses.
 *
 * @param amount - amount in use
 * @param capacity - total capacity
 * @returns a fraction; 0 if there is no capacity
 */
export const calculateDominantShare = (amount: Resources, capacity: Resources): number =>
  Math.max(
    divide(amount.processors, capacity.processors),
    divide(amount.memoryMb, capacity.memoryMb),
    divide(amount.accelerators, capacity.accelerators),
  );
