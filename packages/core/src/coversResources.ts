import type { Resources } from '@toucanline/schema';

/** Tolerance for sums of fractional amounts, in units of each resource. */
const tolerance = 1e-6;

/**
 * Checks whether one amount is enough for another.
 *
 * @param available - amount that is available
 * @param needed - amount that is needed
 * @returns true if no resource falls short
 */
export const coversResources = (available: Resources, needed: Resources): boolean =>
  needed.processors <= available.processors + tolerance &&
  needed.memoryMb <= available.memoryMb + tolerance &&
  needed.accelerators <= available.accelerators + tolerance;
