/** Intervals, timeouts and limits of a host process. Times are in milliseconds. */
export const hostLimits = Object.freeze({
  /** Time to live of the leader lease. A failover takes at least as long; three renewals must fit into it. */
  leaderLeaseTtlMs: 1500,
  /** Interval between renewals: four fit into a lease, since the store at times loses a third of its answers. */
  leaseRenewalIntervalMs: 300,
  /** The leader treats its lease as expired this long before the store: covers clock drift and a slow event loop. */
  leaseSafetyMarginMs: 150,
  /** Longest wait of one watch call for the configuration, if keys need not be withdrawn sooner. */
  configurationWatchMs: 1500,
  /**
   * Starts are held this long before the age of the evacuations reaches the bound of the site. A start that is sent just
   * before has a lease of this time less the next margin, which must last until the first report renews it.
   */
  evacuationMarginMs: 1200,
  /** The lease of a start ends this long before the bound: covers clocks that differ by 2% over the bound. */
  startExpiryMarginMs: 200,
  /**
   * Longest wait of one watch call for evacuations. After a watch call without an answer, three further calls fit into
   * the longest age, since the store at times loses a third of its answers.
   */
  evacuationWatchMs: 600,
  /** Shortest wait of one watch call for evacuations, so that a small bound does not flood the store with calls. */
  minEvacuationWatchMs: 50,
  /** Time for which starts are held before that is logged: a new leader holds them until its first read. */
  evacuationHoldLogMs: 500,
  /**
   * Interval of the reports of an idle worker where data centres can be evacuated. Its clock must be known well for a
   * lease that ends at a given time: within 20 s it drifts by 400 ms.
   */
  idleReportMs: 20_000,
  /** Longest wait of one watch call for the keys of the election. */
  electionWatchMs: 2000,
  /** Longest wait of one watch call of the leader for jobs or workers. */
  leaderWatchMs: 2000,
  /** Pause before a failed read, watch call or campaign is repeated. */
  watchRetryMs: 150,
  /** Calls are refused this long before the age of the configuration reaches the limit for withdrawn keys. */
  keyRevocationMarginMs: 900,
  /** Pause between pings of the store. */
  pingIntervalMs: 400,
  /** Timeout of a ping of the store: a slow store answers within 240 ms. */
  pingTimeoutMs: 500,
  /**
   * Time without an answer of the store after which the host takes no new connections, so that callers in a data centre
   * that is cut off reach the hosts of others. A slow store answers a ping every 640 ms.
   */
  storeSilenceLimitMs: 900,
  /** Longest random delay of a campaign after the leader lease has expired, so that the hosts do not collide. */
  campaignJitterMs: 60,
  /** Longest delay of the campaign of a host that can carry the leader less well than another host of the site. */
  maxUnfitDelayMs: 900,
  /** Time for which a host that gave up the leadership for another one does not campaign. */
  resignationPauseMs: 2500,
  /** Time without the complete stored state after which a new leader gives up the leadership for another host. */
  leaderLoadTimeoutMs: 5000,
  /** Finished jobs that a new leader applies at a time, between other work. */
  finishedJobsPerTurn: 40,
  /** Time after its election before a leader hands over to a fitter host. */
  minLeadershipMs: 500,
  /**
   * Time for resolving a submission whose outcome is unknown, before it is reported to the caller as unknown. Together
   * with the timeout of the write this leaves callers, who wait 3 s, enough time to try another host.
   */
  unknownOutcomeTimeoutMs: 400,
  /**
   * Timeout for asking the leader whether a submission that is about to be refused repeats a stored one. A refusal that
   * comes late leaves the caller less time to try again.
   */
  repeatCheckTimeoutMs: 50,
  /** Timeout of a call from another host to the leader. */
  leaderCallTimeoutMs: 500,
  /** Longest time for which a worker delays a report until a run ends, if the leases are long enough. */
  reportWaitMs: 1000,
  /** Shortest pause between two reports of a worker: ends within it share one report and one write. */
  minReportPauseMs: 40,
  /**
   * Reports per second of all workers together, for each second of processor time that the leader has per second. The
   * rest is needed for planning, permits and starts.
   */
  maxReportsPerProcessorSecond: 700,
  /** Added to the time a worker takes to stop a run before a report is requested that shows whether the run ended. */
  stopCheckMarginMs: 30,
  /** Pause after a failed report. */
  reportRetryMs: 250,
  /** Longest pause before a report that cannot acknowledge run ends because a start has no response yet. */
  startAnswerPauseMs: 50,
  /** Longest pause between reports while the ends of runs are not written yet. */
  unwrittenEndsPauseMs: 500,
  /** Shortest pause between two planning passes. */
  minPlanIntervalMs: 4,
  /** Interval at which a planning pass is requested without any change. */
  maxPlanIntervalMs: 100,
  /** Pause between two writes of progress. */
  minProgressIntervalMs: 15,
  /**
   * Shortest time between two writes of the placements: on a large fleet they are larger than all other writes of the
   * leader together.
   */
  placementsIntervalMs: 200,
  /**
   * Further writes of the placements in each second that are made at once because starts wait for a higher allowance:
   * accounts that become active together share one, and a burst of them does not wait for the interval.
   */
  maxUrgentPlacementsPerSecond: 3,
  /** Time for which starts wait for a higher allowance before it is logged, and interval of the further lines. */
  allowanceDelayLogMs: 1000,
  /**
   * Longest time for which the writes of progress may leave a part over: run ends are acknowledged only once all
   * progress is written.
   */
  maxWholeBatchDelayMs: 1000,
  /** Interval at which learned durations are written: a leader that is killed loses what it learned since. */
  durationsIntervalMs: 10_000,
  /** Pause after a failed read of the learned durations. */
  durationsRetryMs: 1000,
  /** Largest record of learned durations in bytes; the store accepts 1 MiB. */
  maxDurationsBytes: 262_144,
  /** Interval of the log lines about the error of the expected durations. */
  durationsReportMs: 30_000,
  /** Interval at which an unchanged forecast is repeated while work waits: hosts use one for 2 s. */
  forecastRepeatMs: 750,
  /**
   * Time after a submission with an unknown outcome in which this host refuses none by the forecast: a write without a
   * response takes effect up to 12 s later, and a refusal says that the job never runs.
   */
  unknownOutcomeMemoryMs: 15_000,
  /** Pause after a failed write of progress or of the roster. */
  progressRetryMs: 100,
  /**
   * Interval at which the remaining lease time of suspended workers is written: the next leader waits at most that much
   * longer than needed.
   */
  suspensionRefreshMs: 500,
  /** Time for which a stopping host still accepts connections: the load balancer needs two failed probes. */
  drainMs: 2300,
  /** Time before its kill at which a stopping host exits even if calls are open. */
  exitMarginMs: 1000,
  /** Shortest time for which the state of a finished job stays readable. */
  minRetentionMs: 180_000,
  /**
   * Advice calls with a shorter expected duration may use the leader's own channel. Also the longest expected duration of
   * all calls that are sent through one channel at the same time.
   */
  shortAdviceCallMs: 100,
  /** Longest time for which queued advice calls for one service wait behind those for others. */
  adviceTurnMs: 1000,
  /** Interval at which queued advice calls are tried again. */
  adviceRetryMs: 100,
  /** Time after which queued advice calls are logged, and interval of the further lines. */
  adviceDelayLogMs: 1000,
  /** Interval of the cleanup of finished jobs. */
  cleanupIntervalMs: 20_000,
  /** Keys removed in one transaction: the store accepts 32 entries. */
  maxRemovalsPerWrite: 30,
  /** Transactions of one cleanup: with the interval they remove the jobs of a day at the peak rate. */
  maxWritesPerCleanup: 60,
});
