/** Times and limits of scheduling. All times are in milliseconds. */
export const schedulingLimits = Object.freeze({
  /**
   * Longest lease that is used even if workers accept longer ones: the tasks of a worker that is lost start again only
   * after their leases.
   */
  longestLeaseMs: 6000,
  /** Lease that each command grants, as a share of the longest one. */
  grantedLeaseShare: 0.98,
  /**
   * Grace period for which a leader without contact to the store continues with known work. For workers that it cannot
   * reach, its successor waits for this period on top of the workers' leases.
   */
  leaderGraceMs: 3000,
  /** Lowest rate of a worker's clock relative to the leader's: the platform states a drift of 2%. */
  minClockRate: 0.98,
  /** Margin added to the computed expiry of a lease: covers the delivery of a command inside the worker. */
  leaseExpiryMarginMs: 150,
  /** Consecutive calls without a response from which a worker counts as unreachable: single calls are lost. */
  minLostCalls: 2,
  /** Time after a call without a response within which the next one is sent: longer than the pause of a session. */
  recentFailureMs: 500,
  /** Longest time of a request for a report: covers its wait and its timeout. */
  longestCallMs: 2000,
  /** Time for which a worker that is no longer listed is asked for the ends of runs whose tasks were released. */
  unreadRetentionMs: 30_000,
  /** Run ends in one report: a report with as many may hide further ones. */
  maxListedEnds: 500,
  /** Difference from the expected time beyond which a worker's clock is that of another incarnation: covers the delay of responses. */
  clockJumpMs: 1000,
  /** Longest time after which a command without a response is executed: the platform states 2 to 12 s. */
  lateCallMs: 12_000,
  /** Margin added to it: covers the delivery of a command and a drift of the leader's clock. */
  lateCallMarginMs: 500,
  /**
   * Number of pending starts of one task from which it no longer starts on the same worker, but waits until it may start
   * anywhere: the worker may leave commands unanswered for long. If it leaves half of them, one task in 16 waits.
   */
  maxPendingStarts: 4,
  /** Delay before an unconfirmed stop is repeated. */
  stopRetryMs: 300,
  /** Time before its expiry at which a permit is no longer used: a command takes a few milliseconds to arrive. */
  permitMarginMs: 150,
  /** Time for which a worker that did not respond gets no new task; doubles with each consecutive failure. */
  workerBackoffMs: 500,
  /** Longest pause of a worker that keeps failing to respond, as a share of the longest lease: its tasks go on. */
  maxWorkerBackoffShare: 0.65,
  /** Time after which a task is started again whose start a worker could not read. */
  invalidStartDelayMs: 4000,
  /** Maximum number of workers in one request for permits: the platform's objective allows for a call on 30. */
  maxWorkersPerAdvice: 30,
  /**
   * Number of allowed workers with which a step has a choice. Verdicts on further workers are requested only where the
   * step has room, since each request takes time of the advice service.
   */
  minAllowedWorkers: 12,
  /** Share of its base duration by which a request for permits may grow to renew those of further workers. */
  permitRenewalShare: 0.25,
  /** Pending steps that each planning pass examines, from the first in the order of service. */
  maxFirstSteps: 96,
  /** Pending steps behind these that a planning pass examines in addition, others in each pass. */
  maxFurtherSteps: 64,
  /** Duration from which a planning pass is long, so that the next ones examine fewer steps. */
  longPassMs: 12,
  /** Smallest share of these steps that a pass examines. */
  minWindowShare: 0.25,
  /**
   * Time without a running task after which a waiting step gets a turn while its service has room. The users' platform
   * allows 3 s, of which a request for permits takes up to 1 s. Turns after 1 s made up to half of the work on time late
   * in simulations of a hot account.
   */
  idleTurnMs: 2000,
  /** Time without a start after which a waiting step gets a turn although some of its tasks run. */
  partialTurnMs: 4000,
  /** Longest time of a turn without a start once no request for permits is open. */
  turnMs: 1000,
  /**
   * Longest time of a turn without a start: the requests of all steps that have a turn at the same time take about 5 s
   * on one channel.
   */
  maxTurnMs: 5000,
  /** Steps of one service with a turn at the same time: a twelfth of the first steps of a pass, which go on after them. */
  maxTurnSteps: 8,
  /** Steps of one service that a pass checks for room, which takes time; the others follow in the next passes. */
  maxTurnChecks: 32,
  /**
   * Share of the processors of a service in use from which there are no turns: the users' platform counts jobs as
   * starved only below one half. Turns up to 75% made half of the work on time late in simulations.
   */
  maxTurnUse: 0.5,
  /** Delay of the answer to a request of a step with a turn from which it no longer counts against the share of turns. */
  turnAnswerMarginMs: 150,
  /**
   * Share of the channels to the advice service, rounded up, that requests of steps with a turn use at the same time. In
   * simulations a smaller one left jobs without a start for 4 s, and a half made more work on time late.
   */
  turnChannelShare: 0.33,
  /** Time before the expected completion of its dependencies at which the permits of a step are requested. */
  adviceLeadMs: 900,
  /**
   * Multiple of its objective beyond which a job is hopelessly late: it has no value any more and waits behind
   * others.
   */
  hopelessFactor: 3,
  /** Age below which a running task is not preempted, so that tasks are not stopped right after their start. */
  minPreemptionAgeMs: 400,
  /** Number of preempted tasks after which a planning pass preempts no more. */
  maxPreemptionsPerPass: 12,
  /** Share of an estimated duration that counts towards lateness: declared ones are off by a factor of up to two. */
  trustedEstimateShare: 0.6,
  /** Number of times that a task must fit into the time left on a worker: a failed run is repeated. */
  placementSafetyFactor: 2.25,
  /**
   * Share of a worker's capacity from which a task is large: capacity is reserved for it, or small tasks would starve
   * it.
   */
  largeTaskShare: 0.2,
  /** Number of consecutive failed runs after which a worker is quarantined. */
  quarantineFailures: 4,
  /** Duration of a quarantine; each further failure in a row starts another. */
  quarantineMs: 3000,
  /** Time without reported progress after which a task is stalled: reports arrive every second. */
  stallTimeoutMs: 1500,
  /** The same as a share of the expected duration, if longer: progress is in whole percent, and estimates are off. */
  stallDurationShare: 0.1,
  /** Time for which a worker with a stalled task gets no new tasks. */
  stallPauseMs: 1500,
  /**
   * Fencing tokens reserved for each term: a term of years at the target rate of starts uses fewer, and 900,000 terms fit
   * into a safe integer.
   */
  tokensPerTerm: 10_000_000_000,
  /** Run numbers reserved for each term: a task is started far less often, so those of later terms are higher. */
  runsPerTerm: 1000,
});
