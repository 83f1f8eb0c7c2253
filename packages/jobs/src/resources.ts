import type { Room } from '@toucanline/schema';

/** Arithmetic of rooms. */
export const resources = Object.freeze({
  /** No room at all. */
  none: Object.freeze({ milliProcessors: 0, memoryMb: 0, accelerators: 0 }),

  /**
   * Adds two rooms.
   *
   * @param a - first room
   * @param b - second room
   * @param times - how often the second is added; negative subtracts
   * @returns the sum
   */
  add: (a: Room, b: Room, times = 1): Room => ({
    milliProcessors: a.milliProcessors + b.milliProcessors * times,
    memoryMb: a.memoryMb + b.memoryMb * times,
    accelerators: a.accelerators + b.accelerators * times,
  }),

  /**
   * Tells whether a size fits.
   *
   * @param size - what is wanted
   * @param free - what is free
   * @returns whether each dimension fits
   */
  fits: (size: Room, free: Room): boolean =>
    size.milliProcessors <= free.milliProcessors &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators,

  /**
   * Counts how often a size fits.
   *
   * @param size - room of one task
   * @param free - what is free
   * @returns whole number of tasks
   */
  countFitting: (size: Room, free: Room): number => {
    const times = (part: number, whole: number): number =>
      part > 0 ? Math.floor(whole / part) : Infinity;
    return Math.max(
      0,
      Math.min(
        times(size.milliProcessors, free.milliProcessors),
        times(size.memoryMb, free.memoryMb),
        times(size.accelerators, free.accelerators),
      ),
    );
  },

  /**
   * Weighs a room in processor seconds, in the proportion in which the users price accelerators (8 processors).
   *
   * @param size - the room
   * @returns processors
   */
  toProcessorEquivalents: (size: Room): number =>
    size.milliProcessors / 1000 + size.accelerators * 8,
});
