import type { Room } from '@toucanline/schema';

/** Arithmetic on resource amounts: processors, memory and accelerators. */
export const resources = Object.freeze({
  /** No resources. */
  none: Object.freeze({ milliProcessors: 0, memoryMb: 0, accelerators: 0 }),

  /**
   * Adds two amounts.
   *
   * @param a - first amount
   * @param b - second amount
   * @param times - factor of the second amount; negative to subtract
   * @returns sum in each dimension
   */
  add: (a: Room, b: Room, times = 1): Room => ({
    milliProcessors: a.milliProcessors + b.milliProcessors * times,
    memoryMb: a.memoryMb + b.memoryMb * times,
    accelerators: a.accelerators + b.accelerators * times,
  }),

  /**
   * Checks whether a task fits.
   *
   * @param size - resources of the task
   * @param free - free capacity
   * @returns whether the task fits in each dimension
   */
  fits: (size: Room, free: Room): boolean =>
    size.milliProcessors <= free.milliProcessors &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators,

  /**
   * Counts how many tasks of one size fit.
   *
   * @param size - resources of one task
   * @param free - free capacity
   * @returns number of tasks; `Infinity` for a size of zero
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
   * Converts an amount to processor equivalents. An accelerator counts as 8 processors, the ratio at which the users
   * price it; memory does not count.
   *
   * @param size - amount to convert
   * @returns number of processors
   */
  toProcessorEquivalents: (size: Room): number =>
    size.milliProcessors / 1000 + size.accelerators * 8,
});
