/** Use of one team. */
export interface TeamSummary {
  /** Mean dominant share of the fleet that the work done for the team is, on workers of speed 1. */
  readonly use: number;
  /** The same if each of its tasks had started on arrival. */
  readonly demand: number;
}
