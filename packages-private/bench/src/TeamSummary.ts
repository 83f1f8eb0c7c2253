/** Use of one team. */
export interface TeamSummary {
  /** Mean dominant share of the fleet that the team used. */
  readonly use: number;
  /** Mean dominant share of the fleet that it asked for. */
  readonly demand: number;
}
