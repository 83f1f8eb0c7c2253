import type { Demand } from './Demand.js';

/**
 * Orders demands: work that still helps its caller first, then within the rate that its account is entitled to,
 * then by priority of the queue, then by deadline.
 *
 * @param a - first demand
 * @param b - second demand
 * @returns a negative number if the first has its turn before the second
 */
export const compareDemands = (a: Demand, b: Demand): number =>
  Number(a.isHopeless) - Number(b.isHopeless) ||
  Number(a.step.job.isExcess) - Number(b.step.job.isExcess) ||
  a.queue.priority - b.queue.priority ||
  a.deadline - b.deadline;
