import type { DurationLevel } from './DurationLevel.js';

/** Expected duration of the tasks of a kind of work on a worker of mean speed. */
export interface DurationEstimate {
  /** Median in milliseconds. */
  readonly medianMs: number;
  /** Duration that 95% of the tasks do not exceed, in milliseconds. */
  readonly tailMs: number;
  /** Variance of the logarithm of the median between the steps of the kind. */
  readonly stepVariance: number;
  readonly level: DurationLevel;
}
