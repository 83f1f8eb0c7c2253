/** Time of a simulation. */
export interface Period {
  /** End of the warm-up. */
  readonly measuredFromMs: number;
  readonly durationMs: number;
  readonly stepMs: number;
}
