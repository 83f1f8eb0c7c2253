/** Times that hold for all workers of a site. */
export interface WorkerBounds {
  /** Longest time that a worker takes to stop a run, in milliseconds. */
  readonly maxStopMs: number;
  /** Longest lease that a worker accepts, whatever a command requests, in milliseconds. */
  readonly maxLeaseMs: number;
}
