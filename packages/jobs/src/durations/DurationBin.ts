/** Weight of the runs whose ratio of actual to declared duration falls into one bin. */
export interface DurationBin {
  /** Weight of the finished runs. */
  readonly ended: number;
  /** Weight of the runs that were cut short in this bin, so that the tasks would have taken longer. */
  readonly cutShort: number;
}
