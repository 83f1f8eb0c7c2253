/** Distribution of the ratio of actual to declared durations. All ratios are natural logarithms. */
export interface DurationSummary {
  readonly median: number;
  /** Ratio that 95% of the tasks do not exceed. */
  readonly tail: number;
  /** Half of the distance between the 16th and the 84th percentile: the standard deviation without the tail. */
  readonly deviation: number;
}
