import type { PendingStep } from './PendingStep.js';

/**
 * Computes the rank of a step, which is compared before priority and deadline. On an overloaded fleet, serving late
 * work first makes all work late, and work that meets its objective is worth about five times as much as late work.
 * Jobs that an account submits beyond its entitled rate come last.
 *
 * @param pending - step and its lateness
 * @returns rank from 0; lower ranks are served first
 */
export const computeServiceRank = ({
  step,
  lateness,
}: Pick<PendingStep, 'step' | 'lateness'>): number => {
  if (step.job.isOverRate) return 3;
  if (lateness === 'hopeless') return 2;
  return lateness === 'late' ? 1 : 0;
};
