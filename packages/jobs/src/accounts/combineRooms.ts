import type { Room } from '@toucanline/schema';

/**
 * Combines two amounts in each dimension.
 *
 * @param a - first amount
 * @param b - second amount
 * @param combine - computes the value of one dimension
 * @returns combined amount
 */
export const combineRooms = (
  a: Room,
  b: Room,
  combine: (first: number, second: number) => number,
): Room => ({
  milliProcessors: combine(a.milliProcessors, b.milliProcessors),
  memoryMb: combine(a.memoryMb, b.memoryMb),
  accelerators: combine(a.accelerators, b.accelerators),
});
