import type { Request } from '@toucanline/schema';

/** A request of a trace with its arrival. */
export interface Arrival {
  readonly request: Request;
  /** Simulated time of the arrival in milliseconds. */
  readonly arrivesAt: number;
  /** Position of the shard at which it arrives. */
  readonly shard: number;
  /** Actual run time on a worker of speed 1 in milliseconds, which differs from the declared one. */
  readonly runMs: number;
}
