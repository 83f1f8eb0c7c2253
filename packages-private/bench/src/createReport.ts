import type { Report, Resources } from '@toucanline/schema';

/**
 * Creates the initial report of a simulated worker.
 *
 * @param worker - name of the worker
 * @param rack - rack of the worker
 * @param capacity - total capacity of the worker
 * @param speed - speed of the worker relative to the reference, which is 1
 * @returns the report
 */
export const createReport = (
  worker: string,
  rack: string,
  capacity: Resources,
  speed: number,
): Report => ({
  worker,
  bootId: 'boot',
  clockMs: 0,
  sequence: 1,
  state: 'live',
  dataCentre: 'dc1',
  rack,
  room: capacity,
  ...(capacity.accelerators > 0 ? { acceleratorType: 'a100' } : {}),
  speed,
  epoch: 1,
  owner: 'bench',
  leaseUntil: 0,
  full: true,
  tasks: [],
  changes: [],
});
