/** Teams by rank. A change moves one team; 230 teams are few enough for a sorted array. */
export class TeamOrder {
  readonly #ranks = new Map<string, number>();
  readonly #sorted: string[] = [];

  /** Teams, the lowest rank first. */
  public get teams(): readonly string[] {
    return this.#sorted;
  }

  /**
   * Reads the rank of a team.
   *
   * @param team - name of the team
   * @returns its rank; undefined if the team is not in the order
   */
  public readRank(team: string): number | undefined {
    return this.#ranks.get(team);
  }

  /**
   * Adds a team or moves it.
   *
   * @param team - name of the team
   * @param rank - its rank
   */
  public set(team: string, rank: number): void {
    if (this.#ranks.get(team) === rank) return;
    this.delete(team);
    this.#sorted.splice(this.#findPosition(rank), 0, team);
    this.#ranks.set(team, rank);
  }

  /**
   * Removes a team.
   *
   * @param team - name of the team
   */
  public delete(team: string): void {
    const rank = this.#ranks.get(team);
    if (rank === undefined) return;
    this.#sorted.splice(this.#sorted.indexOf(team, this.#findPosition(rank)), 1);
    this.#ranks.delete(team);
  }

  /** Position of the first team whose rank is not lower. */
  #findPosition(rank: number): number {
    let low = 0;
    let high = this.#sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const team = this.#sorted[middle];
      const isLower = team !== undefined && (this.#ranks.get(team) ?? 0) < rank;
      if (isLower) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
