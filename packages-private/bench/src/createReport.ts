import type { Report, Resources } from '@toucanline/schema';

/**
 * Creates the first report of a simulated worker.
 *
 * @param worker - name of the worker
 * @param rack - its rack
 * @param room - its capacity
 * @param speed - its speed; 1 is the reference
 * @returns the report
 */
export const createReport = (
  worker: string,
  rack: string,
  room: Resources,
  speed: number,
): Report => ({
  worker,
  bootId: 'boot',
  clockMs: 0,
  sequence: 1,
  state: 'live',
  dataCentre: 'dc1',
  rack,
  room,
  ...(room.accelerators > 0 ? { acceleratorType: 'a100' } : {}),
  speed,
  epoch: 1,
  owner: 'bench',
  leaseUntil: 0,
  full: true,
  tasks: [],
  changes: [],
});
