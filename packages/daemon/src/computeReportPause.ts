import { hostLimits } from './hostLimits.js';

/**
 * Computes the pause between two reports of a worker. It limits the reports of all workers together, since on a full
 * fleet each report returns at once.
 *
 * @param busyWorkers - number of workers that run tasks
 * @returns pause in milliseconds
 */
export const computeReportPause = (busyWorkers: number): number =>
  Math.max(hostLimits.minReportPauseMs, (busyWorkers * 1000) / hostLimits.maxReportsPerSecond);
