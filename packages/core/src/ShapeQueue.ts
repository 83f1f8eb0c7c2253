import { IndexedHeap } from './IndexedHeap.js';
import type { RequestClass } from './RequestClass.js';

/** Waiting classes of one shape and priority: the class of the team with the lowest rank comes first. */
export class ShapeQueue {
  /** A class of the shape; all of them fit on the same workers. */
  public readonly sample: RequestClass;
  readonly #teams = new IndexedHeap<string>();
  readonly #stale = new Set<string>();
  readonly #classes = new Map<string, IndexedHeap<RequestClass>>();

  /** @param sample - first class of the queue */
  public constructor(sample: RequestClass) {
    this.sample = sample;
  }

  /** Whether no class waits. */
  public get isEmpty(): boolean {
    return this.#teams.size === 0;
  }

  /** Class that is tried next. */
  public get first(): RequestClass | undefined {
    const team = this.#teams.first;
    return team === undefined ? undefined : this.#classes.get(team)?.first;
  }

  /** Rank of the team that is first. */
  public get firstRank(): number {
    return this.#teams.firstKey;
  }

  /**
   * Checks whether classes of a team wait.
   *
   * @param team - name of the team
   * @returns true if there is one
   */
  public hasTeam(team: string): boolean {
    return this.#classes.has(team);
  }

  /**
   * Counts the waiting requests of all classes.
   *
   * @returns the number of requests
   */
  public countRequests(): number {
    let count = 0;
    for (const classes of this.#classes.values()) {
      for (const group of classes.items()) count += group.count;
    }
    return count;
  }

  /**
   * Lists the first class of each team.
   *
   * @returns the classes in no particular order
   */
  public listGroups(): readonly RequestClass[] {
    const groups: RequestClass[] = [];
    for (const { first } of this.#classes.values()) if (first !== undefined) groups.push(first);
    return groups;
  }

  /**
   * Adds a class or moves it after a change of its oldest request.
   *
   * @param group - the class
   * @param rank - rank of its team
   */
  public set(group: RequestClass, rank: number): void {
    const classes = this.#classes.get(group.team) ?? new IndexedHeap<RequestClass>();
    this.#classes.set(group.team, classes);
    classes.set(group, group.firstOrder);
    this.rank(group.team, rank);
  }

  /**
   * Removes a class.
   *
   * @param group - the class
   * @param rank - rank of its team
   * @returns true if it was in the queue
   */
  public delete(group: RequestClass, rank: number): boolean {
    const classes = this.#classes.get(group.team);
    if (classes?.delete(group) !== true) return false;
    if (classes.size === 0) {
      this.#classes.delete(group.team);
      this.#teams.delete(group.team);
    } else this.rank(group.team, rank);
    return true;
  }

  /**
   * Notes that the rank of a team changed while the shape is blocked.
   *
   * @param team - name of the team
   */
  public markStale(team: string): void {
    this.#stale.add(team);
  }

  /**
   * Moves the teams whose rank changed while the shape was blocked.
   *
   * @param readRank - reads the rank of a team
   */
  public rankStale(readRank: (team: string) => number): void {
    for (const team of this.#stale) this.rank(team, readRank(team));
    this.#stale.clear();
  }

  /**
   * Moves a team after a change of its rank.
   *
   * @param team - name of a team whose classes wait
   * @param rank - the new rank
   */
  public rank(team: string, rank: number): void {
    const classes = this.#classes.get(team);
    if (classes !== undefined) this.#teams.set(team, rank, classes.firstKey);
  }
}
