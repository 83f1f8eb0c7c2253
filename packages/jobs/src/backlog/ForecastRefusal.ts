/** Why a submission is refused, and when it would be served in time. */
export interface ForecastRefusal {
  /** Whether the account is beyond its entitled rate or share. */
  readonly isEntitled: boolean;
  /** Forecast time until the start of the job, in milliseconds. */
  readonly delayMs: number;
  /** Forecast time until its completion, in milliseconds. */
  readonly completionMs: number;
  /** Time within which its completion is useful, in milliseconds. */
  readonly usefulMs: number;
  readonly retryAfterSeconds: number;
}
