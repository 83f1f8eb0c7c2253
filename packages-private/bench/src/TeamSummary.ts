/** Use and demand of one team. */
export interface TeamSummary {
  /** Mean dominant share of the fleet used by the team, with work counted as on workers of speed 1. */
  readonly use: number;
  /** Mean dominant share that the team would use if each of its tasks started on arrival. */
  readonly demand: number;
}
