/** Teams sorted by rank. A sorted array is fast enough for 230 teams, because a change moves only one of them. */
export class TeamOrder {
  readonly #ranks = new Map<string, number>();
  readonly #sorted: string[] = [];

  /** Names of the teams, the lowest rank first. */
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
   * Adds a team, or moves it to a new rank.
   *
   * @param team - name of the team
   * @param rank - new rank
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

  /** Finds the position of the first team whose rank is not lower, by binary search. */
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
