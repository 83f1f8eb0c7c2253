import { hostTimes } from './hostTimes.js';

/**
 * Computes the pause between two reports of a worker. On a full fleet each report returns at once, so the pause
 * bounds the reports of all workers together.
 *
 * @param busyWorkers - workers that run something
 * @returns milliseconds
 */
export const computeReportPause = (busyWorkers: number): number =>
  Math.max(hostTimes.reportPauseMs, (busyWorkers * 1000) / hostTimes.reportsPerSecond);
