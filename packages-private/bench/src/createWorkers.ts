import type { Report, Resources } from '@toucanline/schema';
import { createReport } from './createReport.js';

const workersPerRack = 20;
const speeds = [0.8, 1, 1, 1.3];
const smallCapacity: Resources = { processors: 16, memoryMb: 65_536, accelerators: 0 };
const largeCapacity: Resources = { processors: 64, memoryMb: 131_072, accelerators: 8 };

/**
 * Creates the initial reports of a mixed fleet: three of four workers have 16 cores and 64 GB, the others
 * 64 cores, 128 GB and 8 accelerators.
 *
 * @param count - number of workers
 * @returns one report per worker
 */
export const createWorkers = (count: number): readonly Report[] =>
  Array.from({ length: count }, (_, index) =>
    createReport(
      `w${index}`,
      `r${Math.floor(index / workersPerRack)}`,
      index % 4 === 3 ? largeCapacity : smallCapacity,
      speeds[Math.floor(index / 4) % speeds.length] ?? 1,
    ),
  );
