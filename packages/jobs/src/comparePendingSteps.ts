import { computeServiceRank } from './computeServiceRank.js';
import type { PendingStep } from './PendingStep.js';

/**
 * Compares two pending steps by rank, then by the priority of the queue, then by the deadline of the job.
 *
 * @param a - first step
 * @param b - second step
 * @returns a negative number if the first is served before the second
 */
export const comparePendingSteps = (a: PendingStep, b: PendingStep): number =>
  computeServiceRank(a) - computeServiceRank(b) ||
  a.queue.priority - b.queue.priority ||
  a.jobDeadline - b.jobDeadline;
