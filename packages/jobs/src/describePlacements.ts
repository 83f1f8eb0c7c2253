import type { AccountPlacement, Placements, Room } from '@toucanline/schema';
import type { AccountUsage } from './AccountUsage.js';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Rounds duration factors to two decimals: the estimates are no more precise. */
const factorScale = 100;

/**
 * Describes workers for a successor: the resources that each account uses on them, and their speeds. Of workers that
 * are not surveyed yet, what a previous leader had placed there is listed again.
 *
 * @param pool - workers that may run tasks
 * @param accounts - all accounts
 * @returns resources by worker and account, and duration factors by worker
 */
export const describePlacements = (
  pool: WorkerPool,
  accounts: Iterable<AccountUsage>,
): Pick<Placements, 'workers' | 'speeds'> => ({
  workers: [...pool.all.flatMap(describeTasks), ...describeInherited(pool, accounts)],
  speeds: pool.all.map(({ id, life, speed }) => ({
    worker: id,
    life,
    factor: Math.round(speed.durationFactor * factorScale) / factorScale,
  })),
});

const describeTasks = ({ id, life, tasks }: Worker): readonly AccountPlacement[] => {
  const byAccount = new Map<string, Room>();
  for (const { step } of tasks) {
    const { name } = step.job.account;
    const used = byAccount.get(name) ?? resources.none;
    byAccount.set(name, resources.add(used, step.description.size));
  }
  return [...byAccount].map(([account, room]) => ({ worker: id, life, account, room }));
};

const describeInherited = (
  pool: WorkerPool,
  accounts: Iterable<AccountUsage>,
): readonly AccountPlacement[] =>
  [...accounts].flatMap(({ name, inheritedUsage }) =>
    [...inheritedUsage].flatMap(([id, room]) => {
      const worker = pool.find(id);
      return worker === undefined ? [] : [{ worker: id, life: worker.life, account: name, room }];
    }),
  );
