import { hostLimits } from './hostLimits.js';

/**
 * Computes the pause between two reports of a worker. On a full fleet each report returns at once, so the pause
 * bounds the reports of all workers together.
 *
 * @param busyWorkers - workers that run something
 * @returns milliseconds
 */
export const computeReportPause = (busyWorkers: number): number =>
  Math.max(hostLimits.minReportPauseMs, (busyWorkers * 1000) / hostLimits.maxReportsPerSecond);
