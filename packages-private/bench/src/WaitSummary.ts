/** Waiting time of some requests in milliseconds. */
export interface WaitSummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Requests that had not started at the end; they count with the time until then. */
  readonly waiting: number;
  readonly count: number;
}
