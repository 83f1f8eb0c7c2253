import type { PendingStep } from './PendingStep.js';

/**
 * Rank of a demand before priority and deadline count. On an overloaded fleet, serving late work first makes all
 * work late: work that still meets its objective earns about five times as much as late work. What an account
 * sends beyond its rate is owed to nobody.
 */
const computeRank = ({ step, punctuality }: PendingStep): number => {
  if (step.job.isOverRate) return 3;
  if (punctuality === 'hopeless') return 2;
  return punctuality === 'late' ? 1 : 0;
};

/**
 * Orders demands: by their rank, then by the priority of the queue, then by deadline.
 *
 * @param a - first demand
 * @param b - second demand
 * @returns a negative number if the first has its turn before the second
 */
export const comparePendingSteps = (a: PendingStep, b: PendingStep): number =>
  computeRank(a) - computeRank(b) || a.queue.priority - b.queue.priority || a.deadline - b.deadline;
