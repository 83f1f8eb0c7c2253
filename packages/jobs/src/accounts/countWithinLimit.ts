import type { Room } from '@toucanline/schema';

/**
 * Counts how many tasks stay within a limit, in the dimensions that a cap limits.
 *
 * @param size - resources of one task
 * @param used - resources in use
 * @param limit - largest amount in each dimension
 * @param cap - cap of the account; dimensions in which it is 0 are not limited
 * @returns number of tasks; `Infinity` without a limit, 0 if the usage exceeds the limit
 */
export const countWithinLimit = (size: Room, used: Room, limit: Room, cap: Room): number =>
  Math.min(
    countInDimension(
      size.milliProcessors,
      used.milliProcessors,
      limit.milliProcessors,
      cap.milliProcessors,
    ),
    countInDimension(size.memoryMb, used.memoryMb, limit.memoryMb, cap.memoryMb),
    countInDimension(size.accelerators, used.accelerators, limit.accelerators, cap.accelerators),
  );

const countInDimension = (size: number, used: number, limit: number, cap: number): number => {
  if (cap <= 0) return Infinity;
  if (used > limit) return 0;
  return size > 0 ? Math.floor((limit - used) / size) : Infinity;
};
