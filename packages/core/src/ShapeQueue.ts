import { IndexedHeap } from './IndexedHeap.js';
import type { RequestClass } from './RequestClass.js';
import type { TeamOrder } from './TeamOrder.js';

/** Waiting classes of one shape and priority, by team. */
export class ShapeQueue {
  /** A class of the shape; all of them fit on the same workers. */
  public readonly representative: RequestClass;
  readonly #classesByTeam = new Map<string, IndexedHeap<RequestClass>>();

  /** @param sample - first class of the queue */
  public constructor(sample: RequestClass) {
    this.representative = sample;
  }

  /** Whether no class waits. */
  public get isEmpty(): boolean {
    return this.#classesByTeam.size === 0;
  }

  /**
   * Checks whether classes of a team wait.
   *
   * @param team - name of the team
   * @returns true if there is one
   */
  public hasTeam(team: string): boolean {
    return this.#classesByTeam.has(team);
  }

  /**
   * Finds the class of a team whose oldest request arrived first.
   *
   * @param team - name of the team
   * @returns the class, if one waits
   */
  public findFirst(team: string): RequestClass | undefined {
    return this.#classesByTeam.get(team)?.first;
  }

  /**
   * Finds the class of the team with the lowest rank; of several with the same rank, the oldest one.
   *
   * @param order - all teams
   * @returns the class
   */
  public findLowestRanked(order: TeamOrder): RequestClass | undefined {
    // A rare shape has few teams; a common one has one among the first teams of the order.
    const isRare = this.#classesByTeam.size ** 2 < order.teams.length;
    let best: RequestClass | undefined;
    let lowest = Infinity;
    for (const team of isRare ? this.#classesByTeam.keys() : order.teams) {
      const rank = order.readRank(team) ?? 0;
      if (rank > lowest) {
        if (isRare) continue;
        break;
      }
      const group = this.#classesByTeam.get(team)?.first;
      if (group === undefined) continue;
      if (rank === lowest && best !== undefined && best.firstArrival < group.firstArrival) continue;
      best = group;
      lowest = rank;
    }
    return best;
  }

  /**
   * Counts the waiting requests of all classes.
   *
   * @returns the number of requests
   */
  public countRequests(): number {
    let count = 0;
    for (const classes of this.#classesByTeam.values()) {
      for (const group of classes.items()) count += group.count;
    }
    return count;
  }

  /**
   * Lists the first class of each team.
   *
   * @returns the classes in no particular order
   */
  public listFirstClasses(): readonly RequestClass[] {
    const groups: RequestClass[] = [];
    for (const { first } of this.#classesByTeam.values())
      if (first !== undefined) groups.push(first);
    return groups;
  }

  /**
   * Adds a class or moves it after a change of its oldest request.
   *
   * @param group - the class
   */
  public set(group: RequestClass): void {
    const classes = this.#classesByTeam.get(group.team) ?? new IndexedHeap<RequestClass>();
    this.#classesByTeam.set(group.team, classes);
    classes.set(group, group.firstArrival);
  }

  /**
   * Removes a class.
   *
   * @param group - the class
   * @returns true if it was in the queue
   */
  public delete(group: RequestClass): boolean {
    const classes = this.#classesByTeam.get(group.team);
    if (classes?.delete(group) !== true) return false;
    if (classes.size === 0) this.#classesByTeam.delete(group.team);
    return true;
  }
}
