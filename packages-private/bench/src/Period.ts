/** Duration, warm-up and step of a simulation, in milliseconds. */
export interface Period {
  /** End of the warm-up, from which samples are taken. */
  readonly measuredFromMs: number;
  readonly durationMs: number;
  readonly stepMs: number;
}
