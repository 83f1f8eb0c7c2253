import { hostLimits } from './hostLimits.js';

/**
 * Computes the pause between two reports of a worker. It limits the reports of all workers together, since on a full
 * fleet each report returns at once.
 *
 * @param busyWorkers - number of workers that run tasks
 * @param processors - processor time of this host per second, in seconds
 * @returns pause in milliseconds
 */
export const computeReportPause = (busyWorkers: number, processors: number): number =>
  Math.max(
    hostLimits.minReportPauseMs,
    (busyWorkers * 1000) / (hostLimits.maxReportsPerProcessorSecond * processors),
  );
