import type { Request, Resources, WorkKind } from '@toucanline/schema';
import type { SeededRandom } from './SeededRandom.js';

/** Task sizes as processors, gigabytes of memory, accelerators; larger sizes are rarer. */
const sizes = [
  [1, 2, 0],
  [1, 4, 0],
  [1, 8, 0],
  [2, 4, 0],
  [2, 16, 0],
  [4, 8, 0],
  [4, 24, 0],
  [6, 12, 0],
  [8, 32, 0],
  [12, 16, 0],
  [2, 8, 1],
  [4, 16, 1],
  [8, 16, 2],
  [16, 32, 4],
] as const;

const kinds: readonly WorkKind[] = [
  ...Array.from({ length: 15 }, () => 'batch' as const),
  ...Array.from({ length: 4 }, () => 'service' as const),
  'gang',
];
const urgentFraction = 0.05;
const minRunTimeMs = 30_000;
const maxRunTimeMs = 600_000;

/**
 * Creates requests of mixed kinds and sizes.
 *
 * @param count - number of requests
 * @param teams - number of teams
 * @param random - source of the random choices
 * @param prefix - prefix of the request identifiers
 * @returns the requests in arrival order
 */
export const createRequests = (
  count: number,
  teams: number,
  random: SeededRandom,
  prefix: string,
): readonly Request[] =>
  Array.from({ length: count }, (_, index): Request => {
    const [processors, gigabytes, accelerators] = random.pick(sizes);
    const size: Resources = { processors, memoryMb: gigabytes * 1024, accelerators };
    const kind = random.pick(kinds);
    return {
      id: `${prefix}${index}`,
      digest: `${prefix}${index}`,
      team: `t${Math.floor(random.next() * teams)}`,
      queue: kind,
      kind,
      idempotent: true,
      urgent: random.next() < urgentFraction,
      checkpointable: false,
      detached: false,
      tasks: kind === 'batch' ? 1 : random.pick([2, 3, 4]),
      size,
      command: '',
      runTimeMs: minRunTimeMs + random.next() * (maxRunTimeMs - minRunTimeMs),
    };
  });
