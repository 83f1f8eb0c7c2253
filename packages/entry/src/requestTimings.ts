/** Timeouts and delays of the request service, in milliseconds. */
export const requestTimings = {
  /**
   * Longest wait for an answer within one call to a scheduler. A failed link ends the call earlier, so a shorter wait
   * would only add traffic for each waiting caller.
   */
  maxCallWaitMs: 30_000,
  /** Time that the transport of a call and its reply may add to the wait. */
  transportMarginMs: 2000,
  submitTimeoutMs: 5000,
  /** Time for a shard to get a new owner, after which a request is refused for lack of an owner. */
  failoverTimeoutMs: 10_000,
  retryDelayMs: 200,
  maxRetryDelayMs: 1000,
} as const;
