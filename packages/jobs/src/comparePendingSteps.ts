import type { PendingStep } from './PendingStep.js';

/**
 * Computes the rank of a step, which is compared before priority and deadline. On an overloaded fleet, serving late
 * work first makes all work late, and work that meets its objective is worth about five times as much as late work.
 * Jobs that an account submits beyond its entitled rate come last.
 */
const computeRank = ({ step, lateness }: PendingStep): number => {
  if (step.job.isOverRate) return 3;
  if (lateness === 'hopeless') return 2;
  return lateness === 'late' ? 1 : 0;
};

/**
 * Compares two pending steps by rank, then by the priority of the queue, then by the deadline of the job.
 *
 * @param a - first step
 * @param b - second step
 * @returns a negative number if the first is served before the second
 */
export const comparePendingSteps = (a: PendingStep, b: PendingStep): number =>
  computeRank(a) - computeRank(b) ||
  a.queue.priority - b.queue.priority ||
  a.jobDeadline - b.jobDeadline;
