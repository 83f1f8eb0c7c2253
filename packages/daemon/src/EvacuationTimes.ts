/** Times that keep the bound for evacuations of a site, in milliseconds. */
export interface EvacuationTimes {
  /** Age of the list of evacuated data centres from which nothing starts until it is confirmed. */
  readonly maxAgeMs: number;
  /**
   * Age of the list at which a start that was sent must no longer be executed. The lease of the start ends by then, so the
   * worker refuses it.
   */
  readonly startExpiryMs: number;
  /** Longest wait of one watch call. */
  readonly watchMs: number;
}
