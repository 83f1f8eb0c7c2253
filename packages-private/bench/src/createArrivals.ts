import type { Request, Resources } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import type { SeededRandom } from './SeededRandom.js';
import type { SiteProfile } from './SiteProfile.js';
import type { WorkShape } from './WorkShape.js';

const resourceNames: readonly (keyof Resources)[] = ['processors', 'memoryMb', 'accelerators'];

const pickWeighted = <T>(values: readonly (readonly [T, number])[], random: SeededRandom): T => {
  const sum = values.reduce((total, [, weight]) => total + weight, 0);
  let draw = random.next() * sum;
  const found = values.find(([, weight]) => (draw -= weight) < 0) ?? values[0];
  if (found === undefined) throw new RangeError('there is no value to choose');
  return found[0];
};

const createArrival = (profile: SiteProfile, id: string, random: SeededRandom): Arrival => {
  const shape = pickWeighted<WorkShape>(
    profile.shapes.map((value) => [value, value.weight]),
    random,
  );
  const [processors, gigabytes, accelerators] = random.pick(shape.sizes);
  const [shortest, longest] = shape.runSeconds;
  const runTimeMs = 1000 * (shortest + random.next() * (longest - shortest));
  const request: Request = {
    id,
    digest: id,
    team: pickWeighted(Object.entries(profile.teams), random),
    queue: shape.name,
    kind: shape.kind,
    idempotent: true,
    urgent: shape.urgent === true,
    checkpointable: false,
    detached: false,
    tasks: random.pick(shape.tasks),
    size: { processors, memoryMb: gigabytes * 1024, accelerators },
    command: '',
    runTimeMs,
  };
  const shard = Math.floor(random.next() * profile.shards.length);
  // Declared run times are wrong by up to a factor of two either way.
  return { request, arrivesAt: 0, shard, runMs: runTimeMs * 2 ** (random.next() * 2 - 1) };
};

/** Offered work in relation to what the fleet can do, for the resource that is shortest. */
const calculateOfferedLoad = (profile: SiteProfile, sample: readonly Arrival[]): number =>
  Math.max(
    ...resourceNames.map((kind) => {
      const offered = sample.reduce(
        (sum, { request, runMs }) => sum + request.size[kind] * request.tasks * runMs,
        0,
      );
      const capacity = profile.shards
        .flat()
        .reduce((sum, { room, speed }) => sum + room[kind] * speed, 0);
      return offered / capacity;
    }),
  );

/**
 * Creates the trace of a user with random arrivals.
 *
 * @param profile - fleet and work of the user
 * @param load - offered work as a multiple of what the fleet can do
 * @param durationMs - length of the trace
 * @param random - source of the choices
 * @returns the arrivals by time
 */
export const createArrivals = (
  profile: SiteProfile,
  load: number,
  durationMs: number,
  random: SeededRandom,
): readonly Arrival[] => {
  const sampleSize = 5000;
  const sample = Array.from({ length: sampleSize }, (_, index) =>
    createArrival(profile, `s${index}`, random),
  );
  const intervalMs = calculateOfferedLoad(profile, sample) / sampleSize / load;
  const arrivals: Arrival[] = [];
  let arrivesAt = 0;
  for (let index = 0; ; index += 1) {
    arrivesAt -= Math.log(1 - random.next()) * intervalMs;
    if (arrivesAt >= durationMs) return arrivals;
    arrivals.push({ ...createArrival(profile, `q${index}`, random), arrivesAt });
  }
};
