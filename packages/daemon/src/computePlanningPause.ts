import { hostLimits } from './hostLimits.js';

/** Pause after a planning pass as a multiple of its duration: three quarters of the processor stay for reports and calls. */
const pauseFactor = 3;

/**
 * Computes the pause between two planning passes.
 *
 * @param passMs - duration of the last pass, in milliseconds
 * @returns pause in milliseconds
 */
export const computePlanningPause = (passMs: number): number =>
  Math.max(hostLimits.minPlanIntervalMs, passMs * pauseFactor);
