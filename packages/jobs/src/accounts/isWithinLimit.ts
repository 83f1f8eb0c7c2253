import type { Room } from '@toucanline/schema';

/**
 * Checks whether an amount is within a limit, in the dimensions that a cap limits.
 *
 * @param amount - amount to check
 * @param limit - largest amount in each dimension
 * @param cap - cap of the account; dimensions in which it is 0 are not limited
 * @returns whether the amount is within the limit
 */
export const isWithinLimit = (amount: Room, limit: Room, cap: Room): boolean =>
  (cap.milliProcessors <= 0 || amount.milliProcessors <= limit.milliProcessors) &&
  (cap.memoryMb <= 0 || amount.memoryMb <= limit.memoryMb) &&
  (cap.accelerators <= 0 || amount.accelerators <= limit.accelerators);
