import type { Request, Resources } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import type { SeededRandom } from './SeededRandom.js';
import type { SiteProfile } from './SiteProfile.js';
import type { WorkShape } from './WorkShape.js';

const resourceNames: readonly (keyof Resources)[] = ['processors', 'memoryMb', 'accelerators'];

const pickWeighted = <T>(values: readonly (readonly [T, number])[], random: SeededRandom): T => {
  const sum = values.reduce((total, [, weight]) => total + weight, 0);
  let draw = random.next() * sum;
  const picked = values.find(([, weight]) => (draw -= weight) < 0) ?? values[0];
  if (picked === undefined) throw new RangeError('cannot pick from an empty list');
  return picked[0];
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
  // Actual run times differ from the declared ones by up to a factor of two in either direction.
  return { request, arrivesAt: 0, shard, runMs: runTimeMs * 2 ** (random.next() * 2 - 1) };
};

/** Calculates offered work relative to the capacity of the fleet, for the scarcest resource. */
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
 * Creates a trace for a site, with exponentially distributed times between arrivals.
 *
 * @param profile - fleet, teams and requests of the site
 * @param load - offered work as a multiple of the capacity of the fleet
 * @param durationMs - length of the trace in milliseconds
 * @param random - source of the random choices
 * @returns the requests in arrival order
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
