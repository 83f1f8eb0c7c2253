import type { Placements, Room } from '@toucanline/schema';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Factors are written with two decimals: their estimates are no better. */
const factorScale = 100;

/**
 * Describes workers for a successor: what each account has on them, and their speeds.
 *
 * @param workers - the workers
 * @returns room by worker and account, and factors
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
