/** Times and bounds of scheduling. All times in milliseconds. */
export const schedulingLimits = Object.freeze({
  /** Lease that each order grants: just under the longest that the platform's workers accept (6 s). */
  workerLeaseMs: 5900,
  /** Longest lease that a worker accepts, whatever an order says. */
  maxWorkerLeaseMs: 6000,
  /**
   * How long a leader without contact to the store goes on with work that it knows. Its successor counts this on top
   * of the workers' leases where it cannot reach a worker.
   */
  leaderGraceMs: 3000,
  /** Slowest clock of a worker against ours: the platform states a drift of 2%. */
  minClockRate: 0.98,
  /** Added to the computed end of a lease: covers the delivery of an order inside the worker. */
  leaseExpiryMarginMs: 150,
  /** A permit is not used in the last part of its validity, since an order takes a few milliseconds to arrive. */
  permitMarginMs: 150,
  /** A worker that did not answer gets no new task for this time; doubles with each failure in a row. */
  workerBackoffMs: 500,
  /** Longest pause of a worker that keeps failing. */
  maxWorkerBackoffMs: 4000,
  /** Most workers named in one call for permits: the platform's objective allows for a call on 30. */
  maxWorkersPerAdvice: 30,
  /** A step's permits are requested this long before its predecessors are expected to end. */
  adviceLeadMs: 900,
  /** A job that is this many times its objective late no longer earns anything and waits behind all others. */
  hopelessFactor: 3,
  /** Age below which a running task is not preempted, so that work is not stopped right after its start. */
  minPreemptionAgeMs: 400,
  /** Most tasks that one planning pass stops in favour of more urgent ones. */
  maxPreemptionsPerPass: 12,
  /** Share of an estimated duration that is believed: declared ones are off by a factor of up to two. */
  trustedEstimateShare: 0.6,
  /** Times that a task must fit into the time left on a slow worker: a failed one is run again. */
  placementSafetyFactor: 2.25,
  /** A task of this share of a worker is large: it waits for a worker, or small tasks would keep it out. */
  largeTaskShare: 0.2,
  /** Failures in a row, of different jobs, after which a worker is quarantined. */
  quarantineFailures: 4,
  /** First quarantine of a worker. */
  quarantineMs: 3000,
  /** A task whose reported progress does not change for this long stands still: reports come each second. */
  stallTimeoutMs: 1500,
  /** The same as a share of the expected duration: progress is told in whole percents, and estimates are off. */
  stallDurationShare: 0.1,
  /** Time for which a worker on which a task stands still gets nothing new. */
  stallPauseMs: 1500,
  /** Run numbers of a task in one leader's term: a task is started far less often, so later terms are higher. */
  runsPerTerm: 1000,
  /** Time that a job's state stays readable after its end; the platform asks for 120 s. */
  retentionMs: 180_000,
});
