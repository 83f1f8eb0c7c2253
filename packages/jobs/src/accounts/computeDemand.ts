import type { Room } from '@toucanline/schema';
import type { AccountUsage } from '../AccountUsage.js';
import type { Job } from '../Job.js';
import { resources } from '../resources.js';
import type { StepInstance } from '../StepInstance.js';

/**
 * Sums the waiting tasks of accounts. Steps whose dependencies are all running count as well, so that
 * the write of their allowance does not delay their start.
 *
 * @param jobs - unfinished jobs
 * @param accounts - accounts whose demand is needed
 * @returns waiting demand by account
 */
export const computeDemand = (
  jobs: Iterable<Job>,
  accounts: ReadonlySet<AccountUsage>,
): ReadonlyMap<AccountUsage, Room> => {
  const demand = new Map<AccountUsage, Room>();
  for (const job of jobs) {
    const { account } = job;
    if (!accounts.has(account)) continue;
    for (const step of job.steps) {
      const { waitingCount, description } = step;
      if (waitingCount === 0 || !isNext(step)) continue;
      const known = demand.get(account) ?? resources.none;
      demand.set(account, resources.add(known, description.size, waitingCount));
    }
  }
  return demand;
};

const isNext = ({ job, occurrence, description }: StepInstance): boolean =>
  description.dependsOn.every((number) => job.findStep(occurrence, number)?.waitingCount === 0);
