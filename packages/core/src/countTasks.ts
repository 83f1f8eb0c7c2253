import type { Resources } from '@toucanline/schema';

/** Tolerance for sums of fractional amounts, as in `coversResources`. */
const tolerance = 1e-6;

/** Maximum number of tasks of a request; keeps the count finite for a size of zero. */
const maxTasks = 1000;

const countFitting = (free: number, needed: number): number =>
  needed > 0 ? Math.floor((free + tolerance) / needed) : maxTasks;

/**
 * Counts how many tasks of one size fit into free resources.
 *
 * @param free - free resources
 * @param size - size of one task
 * @returns the number of tasks, at most 1000
 */
export const countTasks = (free: Resources, size: Resources): number =>
  Math.max(
    0,
    Math.min(
      maxTasks,
      countFitting(free.processors, size.processors),
      countFitting(free.memoryMb, size.memoryMb),
      countFitting(free.accelerators, size.accelerators),
    ),
  );
