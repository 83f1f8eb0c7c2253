/** Times and limits of the backlog forecast. All times are in milliseconds. */
export const forecastLimits = Object.freeze({
  /** Shortest time between two forecasts. */
  intervalMs: 250,
  /** Time for which a new leader makes no forecast: it first learns what runs and at which rate work drains. */
  warmUpMs: 5000,
  /** Age from which a host does not use a forecast. */
  maxAgeMs: 2000,
  /** Forecast delay below which a start counts as immediate: steps wait as long for permits on a free fleet. */
  minDelayMs: 500,
  /** Multiple of its objective within which the completion of a job is useful. */
  usefulFactor: 3,
  /**
   * The same for accounts within their entitled rate and share. They are refused last: accounts beyond them get refused
   * first, which shortens the backlog.
   */
  entitledUsefulFactor: 6,
  /** Bounds of `Retry-After`. */
  minRetryMs: 1000,
  maxRetryMs: 30_000,
  /** Time over which a refused caller is spread: `Retry-After` is in whole seconds. */
  spreadMs: 2000,
  /** Times to the deadline up to which waiting work is summed, so that a job is compared with what is served before it. */
  horizonsMs: [1000, 3000, 10_000, 30_000, 100_000],
  /** Weight of a new measurement in the drain rate: about 2 s of measurements count. */
  drainWeight: 0.12,
  /** Smallest share of the drain rate that is assumed for jobs beyond their rate, since the others vary. */
  minOverRateShare: 0.1,
  /** Use relative to the mean of all accounts, both by weight, from which an account is beyond its share. */
  shareFactor: 1.25,
  /** Mean use by weight, in processors, below which an account is no longer measured. */
  minMeanUse: 0.001,
  /** Resolution of the delays in a forecast, so that it does not change with each measurement. */
  resolutionMs: 50,
  /** Largest numbers of services, priorities of a service and accounts in a forecast, which bound its size. */
  maxServices: 16,
  maxPriorities: 8,
  maxAccounts: 32,
});
