/** Times of the request service, in milliseconds. */
export const requestTimings = {
  /**
   * Longest wait of one call to a scheduler. A link that fails ends the call earlier, so short waits bring
   * nothing but traffic for each caller that waits.
   */
  maxCallWaitMs: 30_000,
  /** Time for the transport of a call and its reply. */
  transportMarginMs: 2000,
  submitTimeoutMs: 5000,
  /** Time for a shard to get a new owner before a request is refused for lack of one. */
  failoverTimeoutMs: 10_000,
  retryDelayMs: 200,
  maxRetryDelayMs: 1000,
} as const;
