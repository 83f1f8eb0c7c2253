/** Durations of leases, heartbeats, retries and similar, in milliseconds. */
export const periods = Object.freeze({
  /** Time to live of the store lease of a shard claim. */
  claimLeaseMs: 3000,
  /** Interval between renewals of the lease of a claim. */
  claimRenewalMs: 1000,
  /** Time to live of a worker lease; longer than a failover takes, so that running tasks survive it. */
  workerLeaseMs: 15_000,
  /** Time to live of a worker lease held by a provisional owner without a majority; longer than a renewal takes. */
  candidateLeaseMs: 4000,
  /** Longest wait of one renewal poll without a majority. A longer one would leave the worker's clock uncertain. */
  candidatePollMs: 250,
  /**
   * Longest wait of one renewal poll. A lease lasts until after the next report even if one poll in between is
   * lost: twice this time plus the timeout of a poll is less than a worker lease.
   */
  workerPollMs: 5000,
  /** Minimum time after which a renewal without a response is abandoned and its connection closed. */
  workerTimeoutMs: 4000,
  /** Time for the response of a worker after the longest wait of a poll. */
  workerResponseMs: 1500,
  /** Window during which a worker may accept a start command. */
  startWindowMs: 2000,
  /** Time for the tasks of a released queue to stop; after that their worker gets no new lease. */
  releaseStopMs: 3000,
  /** Time for which finished requests stay readable. */
  retentionMs: 600_000,
  /** Delay before the first retry; doubles with each further attempt. */
  firstRetryDelayMs: 100,
  /** Longest delay before a retry. */
  maxRetryDelayMs: 5000,
  /** Interval of load notices between processes. */
  loadNoticeMs: 1000,
  /** Interval of heartbeats on a link. */
  linkHeartbeatMs: 1000,
  /** Time without changes of owners and schedulers before a shard is handed over for balance. */
  rebalanceStabilizationMs: 5000,
  /** Time without a message after which a link is replaced. */
  linkTimeoutMs: 3000,
  /** Largest expected difference between the wall clocks of two hosts. */
  wallClockMarginMs: 5000,
  /** Longest delay of a group commit. */
  groupCommitMs: 30,
  /** Minimum interval between writes of the allotments while work is waiting for one. */
  allotmentMinWriteIntervalMs: 250,
  /** Interval between writes of the allotments otherwise, and longest interval between reads while work is waiting. */
  allotmentWriteIntervalMs: 2000,
  /** Interval of reads of the allotments while they exceed a lowered limit. */
  allotmentLoweredReadIntervalMs: 1000,
  /** Interval of reads of the allotments without any demand. */
  allotmentIdleReadIntervalMs: 30_000,
});
