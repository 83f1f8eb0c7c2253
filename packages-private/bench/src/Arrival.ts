import type { Request } from '@toucanline/schema';

/** A request of a trace. */
export interface Arrival {
  readonly request: Request;
  readonly arrivesAt: number;
  /** Position of the shard that gets it. */
  readonly shard: number;
  /** Real run time on a worker of speed 1, which differs from the declared one. */
  readonly runMs: number;
}
