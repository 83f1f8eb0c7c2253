import type {
  JobRecord,
  JobStep,
  Placements,
  QueueConfiguration,
  SiteConfiguration,
  WorkerEntry,
} from '@toucanline/schema';
import type { Scheduler } from '../src/index.js';

const room = (milliProcessors: number, memoryMb = 100, accelerators = 0): JobStep['size'] => ({
  milliProcessors,
  memoryMb,
  accelerators,
});

const step = (
  taskCount: number,
  milliProcessors: number,
  overrides: Partial<JobStep> = {},
): JobStep => ({
  taskCount,
  size: room(milliProcessors),
  estimateMs: 1000,
  dependsOn: [],
  ...overrides,
});

const job = (
  id: string,
  steps: readonly JobStep[],
  overrides: Partial<JobRecord> = {},
): JobRecord => ({
  id,
  queue: 'batch',
  account: 'planning',
  specification: { payload: 'x', steps: [...steps] },
  acceptedAtMs: 0,
  isCancelled: false,
  ...overrides,
});

const worker = (id: string, overrides: Partial<WorkerEntry> = {}): WorkerEntry => ({
  id,
  life: 1,
  service: 'render',
  address: `${id}:1`,
  dataCentre: 'dc1',
  isDraining: false,
  capacity: room(16_000, 32_000, 8),
  labels: ['a', 'r1-1'],
  ...overrides,
});

const queue = (name: string, overrides: Partial<QueueConfiguration> = {}): QueueConfiguration => ({
  name,
  host: 'h',
  prefix: `/${name}/`,
  service: 'render',
  priority: 2,
  maxAttempts: 2,
  stretch: 4,
  objectiveMs: 3000,
  isOpen: false,
  ...overrides,
});

const configuration = (overrides: Partial<SiteConfiguration> = {}): SiteConfiguration => ({
  version: 1,
  queues: [queue('batch'), queue('urgent', { priority: 0, objectiveMs: 250, stretch: 1.5 })],
  services: [{ name: 'render', enforcesCapacity: false, isSpare: false }],
  accounts: [
    { name: 'planning', weight: 100, keys: [] },
    { name: 'broadcast', weight: 100, keys: [] },
  ],
  maxBodyBytes: 1000,
  ...overrides,
});

/** Stores the wanted allowances of accounts with a cap, as the host does after a planning pass. */
const storeAllowances = (scheduler: Scheduler): Placements => {
  const placements = scheduler.beginPlacementsWrite(false);
  scheduler.capAllowances.confirmWrite(placements.allowances);
  return placements;
};

/** Builders of records and configurations for the tests of the engine. */
export const fixtures = { room, step, job, worker, queue, configuration, storeAllowances };
