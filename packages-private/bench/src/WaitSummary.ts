/** Waiting times of a group of requests. */
export interface WaitSummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Number of requests not started when the simulation ended; their waiting time counts up to the end. */
  readonly waiting: number;
  /** Number of requests in the group. */
  readonly count: number;
}
