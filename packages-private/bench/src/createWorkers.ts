import type { Report } from '@toucanline/schema';

const workersPerRack = 20;
const speeds = [0.8, 1, 1, 1.3];

/**
 * Creates the first reports of a mixed fleet: three of four workers have 16 cores and 64 GB, the others
 * 64 cores, 128 GB and 8 accelerators.
 *
 * @param count - number of workers
 * @returns one report per worker
 */
export const createWorkers = (count: number): readonly Report[] =>
  Array.from({ length: count }, (_, index): Report => {
    const hasAccelerators = index % 4 === 3;
    return {
      worker: `w${index}`,
      bootId: `b${index}`,
      clockMs: 0,
      sequence: 1,
      state: 'live',
      dataCentre: 'dc1',
      rack: `r${Math.floor(index / workersPerRack)}`,
      room: hasAccelerators
        ? { processors: 64, memoryMb: 131_072, accelerators: 8 }
        : { processors: 16, memoryMb: 65_536, accelerators: 0 },
      ...(hasAccelerators ? { acceleratorType: 'a100' } : {}),
      speed: speeds[Math.floor(index / 4) % speeds.length] ?? 1,
      epoch: 1,
      owner: 'bench',
      leaseUntil: 0,
      full: true,
      tasks: [],
      changes: [],
    };
  });
