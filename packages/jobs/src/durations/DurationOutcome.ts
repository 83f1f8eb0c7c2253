import type { DurationLevel } from './DurationLevel.js';

/** Result of an estimate: how long a finished run took relative to what was expected. */
export interface DurationOutcome {
  /** Level of the estimate before the run ended. */
  readonly level: DurationLevel;
  /** Ratio of the actual to the expected duration on the worker of the run. */
  readonly ratio: number;
}
