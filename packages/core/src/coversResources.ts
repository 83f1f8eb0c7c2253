import type { Resources } from '@toucanline/schema';

/** Tolerance for sums of fractional amounts, in units of each resource. */
const tolerance = 1e-6;

/**
 * Checks whether an amount covers another in every resource, within a small tolerance.
 *
 * @param available - available amount
 * @param needed - needed amount
 * @returns true if no resource is insufficient
 */
export const coversResources = (available: Resources, needed: Resources): boolean =>
  needed.processors <= available.processors + tolerance &&
  needed.memoryMb <= available.memoryMb + tolerance &&
  needed.accelerators <= available.accelerators + tolerance;
