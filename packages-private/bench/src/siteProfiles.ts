import type { Report, Resources } from '@toucanline/schema';
import { createReport } from './createReport.js';
import type { SiteProfile } from './SiteProfile.js';
import type { WorkShape } from './WorkShape.js';

const teams = { a: 12, b: 8, c: 2, d: 2, e: 1, f: 1 };
const smallWorkers = 25;
const largeWorkers = 10;
const speeds = [0.8, 1, 1, 1.3];
const largeCapacity: Resources = { processors: 64, memoryMb: 131_072, accelerators: 8 };

const createShards = (count: number, smallMemoryMb: number): readonly (readonly Report[])[] => {
  const smallCapacity: Resources = { processors: 16, memoryMb: smallMemoryMb, accelerators: 0 };
  const capacities = [
    ...Array.from({ length: smallWorkers }, () => smallCapacity),
    ...Array.from({ length: largeWorkers }, () => largeCapacity),
  ];
  return Array.from({ length: count }, (_, shard) =>
    capacities
      .filter((_room, index) => index % count === shard)
      .map((capacity, index) =>
        createReport(
          `s${shard}-w${index}`,
          `s${shard}-r${index % 3}`,
          capacity,
          speeds[index % speeds.length] ?? 1,
        ),
      ),
  );
};

/** Bus replacement: small timetables, memory-intensive rosters, maps and routes on accelerators. */
const korvaava: readonly WorkShape[] = [
  {
    name: 'timetables',
    weight: 0.55,
    kind: 'batch',
    tasks: [1],
    sizes: [
      [1, 2, 0],
      [2, 4, 0],
      [4, 8, 0],
    ],
    runSeconds: [5, 60],
  },
  {
    name: 'rosters',
    weight: 0.2,
    kind: 'batch',
    tasks: [1],
    sizes: [
      [4, 12, 0],
      [8, 16, 0],
      [8, 24, 0],
    ],
    runSeconds: [30, 300],
  },
  {
    name: 'maps',
    weight: 0.1,
    kind: 'batch',
    tasks: [1],
    sizes: [
      [4, 8, 1],
      [8, 16, 1],
    ],
    runSeconds: [10, 60],
  },
  {
    name: 'routes',
    weight: 0.1,
    kind: 'gang',
    tasks: [2, 3, 4],
    sizes: [
      [8, 16, 1],
      [16, 32, 2],
    ],
    runSeconds: [30, 180],
  },
  {
    name: 'services',
    weight: 0.05,
    kind: 'service',
    tasks: [2],
    sizes: [
      [2, 4, 0],
      [4, 8, 0],
    ],
    runSeconds: [300, 600],
  },
];

/** Weather graphics: panels, memory-intensive loops, urgent banners, animations on accelerators. */
const cascadia: readonly WorkShape[] = [
  {
    name: 'panels',
    weight: 0.5,
    kind: 'batch',
    tasks: [1],
    sizes: [
      [1, 4, 0],
      [2, 8, 0],
      [4, 16, 0],
    ],
    runSeconds: [5, 30],
  },
  {
    name: 'loops',
    weight: 0.25,
    kind: 'batch',
    tasks: [1],
    sizes: [
      [4, 24, 0],
      [8, 32, 0],
    ],
    runSeconds: [30, 180],
  },
  {
    name: 'banners',
    weight: 0.1,
    kind: 'batch',
    urgent: true,
    tasks: [1],
    sizes: [[1, 2, 0]],
    runSeconds: [1, 5],
  },
  {
    name: 'animations',
    weight: 0.1,
    kind: 'gang',
    tasks: [2, 3, 4],
    sizes: [
      [8, 16, 1],
      [8, 16, 2],
      [16, 32, 4],
    ],
    runSeconds: [30, 180],
  },
  {
    name: 'services',
    weight: 0.05,
    kind: 'service',
    tasks: [2],
    sizes: [[2, 8, 0]],
    runSeconds: [300, 600],
  },
];

const smallMemoryMb = { korvaava: 32_768, cascadia: 65_536 };

/**
 * Sites of the two users in the design document. Fleets, data centres and the number of teams are those of
 * the users; sizes, run times and weights of the requests are assumptions, not fitted to results.
 */
export const siteProfiles: readonly SiteProfile[] = [
  {
    name: 'korvaava',
    shards: createShards(3, smallMemoryMb.korvaava),
    teams,
    shapes: korvaava,
  },
  {
    name: 'cascadia',
    shards: createShards(4, smallMemoryMb.cascadia),
    teams,
    shapes: cascadia,
  },
];
