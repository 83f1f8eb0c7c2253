/** Periods and bounds of a host's process. All in milliseconds. */
export const hostLimits = Object.freeze({
  /** Time to live of the leader's lease: a failover takes at least as long, a renewal must fit in thrice. */
  leaderLeaseTtlMs: 1500,
  /** Interval between renewals: four fit into a lease, since the store loses a third of its answers at times. */
  leaseRenewalIntervalMs: 300,
  /** The holder counts its lease shorter than the store: covers the drift of clocks and a slow loop. */
  leaseSafetyMarginMs: 150,
  /** Longest wait of one watch on the operator's configuration; bounds the age of a confirmation. */
  configurationWatchMs: 1500,
  /** Longest wait of one watch on the leader. */
  electionWatchMs: 2000,
  /** Longest wait of one watch on jobs and workers by the leader. */
  leaderWatchMs: 2000,
  /** Pause after a watch that failed. */
  watchRetryMs: 150,
  /** A keyed call is refused this long before the bound for withdrawn keys. */
  keyRevocationMarginMs: 900,
  /** Interval of signs of life of the store, and the longest wait for one: slow days take 240 ms. */
  pingIntervalMs: 400,
  pingTimeoutMs: 500,
  /**
   * Without any answer of the store for this long, the host takes no new connections: in a data centre that is cut off,
   * callers then reach the hosts of others. On slow days the store is heard of each 640 ms.
   */
  storeSilenceLimitMs: 900,
  /** Longest spread of campaigns after the leader's lease ended, so that the hosts do not collide. */
  campaignJitterMs: 60,
  /**
   * How long a submission with an unknown outcome is settled before the caller is told so. Together with the bound of
   * the write this leaves callers, who wait 3 s, the time to try another host.
   */
  unknownOutcomeTimeoutMs: 400,
  /** Bound of a call to the leader by another host. */
  leaderCallTimeoutMs: 500,
  /** Longest wait of a worker's report for an end. */
  reportWaitMs: 1000,
  /** Pause between two reports of a worker: ends that fall into it share one report and one write. */
  minReportPauseMs: 40,
  /**
   * Reports a second of all workers together: on a full fleet each report returns at once, and 800 a second took the
   * processor that planning and permits need.
   */
  maxReportsPerSecond: 330,
  /** Added to the time of a stop before a worker is asked whether the run is gone. */
  stopCheckMarginMs: 30,
  /** Pause after a report that failed. */
  reportRetryMs: 250,
  /** Pause between reports while ends cannot be written. */
  unwrittenEndsPauseMs: 500,
  /** Shortest time between two planning passes. */
  minPlanIntervalMs: 4,
  /** Longest time between two planning passes. */
  maxPlanIntervalMs: 100,
  /** Shortest time between two writes of progress. */
  minProgressIntervalMs: 15,
  /** Pause after a write of progress that failed. */
  progressRetryMs: 100,
  /** Interval at which the time left on suspended workers is written: a successor waits that much longer at most. */
  suspensionRefreshMs: 500,
  /** Time during which a stopping host still takes connections: the balancer needs two missed probes. */
  drainMs: 2300,
  /** Calls for permits expected to be shorter than this have a lane of their own. */
  shortAdviceCallMs: 100,
  /** Interval of the clean-up of finished jobs. */
  cleanupIntervalMs: 20_000,
  /** Keys removed in one transaction; the store takes 32 entries. */
  maxRemovalsPerWrite: 30,
});
