/** Periods of leases, heartbeats and retries, all in milliseconds. */
export const periods = Object.freeze({
  /** Time to live of the store lease behind a shard claim. */
  claimLeaseMs: 3000,
  /** Interval between renewals of the claim lease. */
  claimRenewalMs: 1000,
  /** Time to live of a worker's lease. It outlasts a failover, so that running tasks survive it. */
  workerLeaseMs: 15_000,
  /** Time to live of a worker's lease to a provisional owner without a majority; longer than a renewal. */
  candidateLeaseMs: 4000,
  /** Longest wait of one renewal poll without a majority: a long one leaves the worker's clock uncertain. */
  candidatePollMs: 250,
  /**
   * Longest wait of one renewal poll. The lease of a report holds until after the next report, also if one
   * poll in between is lost: twice this time and the timeout of a poll are within a worker's lease.
   */
  workerPollMs: 5000,
  /** Shortest time after which a renewal without a response is abandoned together with its connection. */
  workerTimeoutMs: 4000,
  /** Time that a worker has for its answer after the longest wait of a poll. */
  workerResponseMs: 1500,
  /** Window within which a worker may accept a start command. */
  startWindowMs: 2000,
  /** Time for the tasks of a released queue to stop; later their worker gets no new lease. */
  releaseStopMs: 3000,
  /** How long finished requests stay readable. */
  retentionMs: 600_000,
  /** First delay before a retry; doubles with each attempt. */
  firstRetryDelayMs: 100,
  /** Longest delay before a retry. */
  maxRetryDelayMs: 5000,
  /** Interval of load notices between processes. */
  loadNoticeMs: 1000,
  /** Interval of heartbeats on a link. */
  linkHeartbeatMs: 1000,
  /** Time without any change of owners and schedulers before a shard is handed over to balance them. */
  rebalanceStabilizationMs: 5000,
  /** Silence after which a link is replaced. */
  linkTimeoutMs: 3000,
  /** Largest difference that is expected between the wall clocks of two hosts. */
  wallClockMarginMs: 5000,
  /** Largest delay of a group commit. */
  groupCommitMs: 30,
  /** Shortest interval between writes of the allotments while work waits for one. */
  allotmentMinWriteIntervalMs: 250,
  /** Interval between writes of the allotments otherwise, and longest between reads while work waits. */
  allotmentWriteIntervalMs: 2000,
  /** Interval of reads of the allotments while they exceed a lowered limit. */
  allotmentLoweredReadIntervalMs: 1000,
  /** Interval of reads of the allotments without any demand. */
  allotmentIdleReadIntervalMs: 30_000,
});
