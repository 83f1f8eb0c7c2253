import type { Placements, Room } from '@toucanline/schema';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Rounds duration factors to two decimals: the estimates are no more precise. */
const factorScale = 100;

/**
 * Describes workers for a successor: the resources that each account uses on them, and their speeds.
 *
 * @param workers - workers that may run tasks
 * @returns resources by worker and account, and duration factors by worker
 */
export const describePlacements = (workers: readonly Worker[]): Placements => ({
  workers: workers.flatMap(({ id, life, tasks }) => {
    const byAccount = new Map<string, Room>();
    for (const { step } of tasks) {
      const { name } = step.job.account;
      const used = byAccount.get(name) ?? resources.none;
      byAccount.set(name, resources.add(used, step.description.size));
    }
    return [...byAccount].map(([account, room]) => ({ worker: id, life, account, room }));
  }),
  speeds: workers.map(({ id, life, speed }) => ({
    worker: id,
    life,
    factor: Math.round(speed.durationFactor * factorScale) / factorScale,
  })),
});
