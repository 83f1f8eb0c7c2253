import { IndexedHeap } from './IndexedHeap.js';
import type { RequestClass } from './RequestClass.js';
import type { TeamOrder } from './TeamOrder.js';

/** Waiting classes of one shape and priority, by team. */
export class ShapeQueue {
  /** Any class of the shape; all classes of a shape fit on the same workers. */
  public readonly representative: RequestClass;
  readonly #classesByTeam = new Map<string, IndexedHeap<RequestClass>>();

  /** @param representative - first class of the queue, which represents the shape */
  public constructor(representative: RequestClass) {
    this.representative = representative;
  }

  /** Whether no class waits. */
  public get isEmpty(): boolean {
    return this.#classesByTeam.size === 0;
  }

  /**
   * Checks whether classes of a team wait.
   *
   * @param team - name of the team
   * @returns true if a class of the team waits
   */
  public hasTeam(team: string): boolean {
    return this.#classesByTeam.has(team);
  }

  /**
   * Finds the class of a team whose oldest request arrived first.
   *
   * @param team - name of the team
   * @returns the class; undefined if none waits
   */
  public findFirst(team: string): RequestClass | undefined {
    return this.#classesByTeam.get(team)?.first;
  }

  /**
   * Finds the class of the team with the lowest rank; among equal ranks, the oldest class.
   *
   * @param order - all teams, ordered by rank
   * @returns the class; undefined if none waits
   */
  public findLowestRanked(order: TeamOrder): RequestClass | undefined {
    // With few teams, all teams of the shape are compared. With many, one of the first teams of the
    // order is likely to have the shape, so the search follows the order.
    const hasFewTeams = this.#classesByTeam.size ** 2 < order.teams.length;
    let best: RequestClass | undefined;
    let lowest = Infinity;
    for (const team of hasFewTeams ? this.#classesByTeam.keys() : order.teams) {
      const rank = order.readRank(team) ?? 0;
      if (rank > lowest) {
        if (hasFewTeams) continue;
        break;
      }
      const requestClass = this.#classesByTeam.get(team)?.first;
      if (requestClass === undefined) continue;
      if (rank === lowest && best !== undefined && best.firstArrival < requestClass.firstArrival)
        continue;
      best = requestClass;
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
      for (const requestClass of classes.items()) count += requestClass.count;
    }
    return count;
  }

  /**
   * Lists the first class of each team.
   *
   * @returns the classes in no particular order
   */
  public listFirstClasses(): readonly RequestClass[] {
    const firstClasses: RequestClass[] = [];
    for (const { first } of this.#classesByTeam.values())
      if (first !== undefined) firstClasses.push(first);
    return firstClasses;
  }

  /**
   * Adds a class or updates its position after a change of its oldest request.
   *
   * @param requestClass - the class
   */
  public set(requestClass: RequestClass): void {
    const classes = this.#classesByTeam.get(requestClass.team) ?? new IndexedHeap<RequestClass>();
    this.#classesByTeam.set(requestClass.team, classes);
    classes.set(requestClass, requestClass.firstArrival);
  }

  /**
   * Removes a class.
   *
   * @param requestClass - the class
   * @returns true if the class was in the queue
   */
  public delete(requestClass: RequestClass): boolean {
    const classes = this.#classesByTeam.get(requestClass.team);
    if (classes?.delete(requestClass) !== true) return false;
    if (classes.size === 0) this.#classesByTeam.delete(requestClass.team);
    return true;
  }
}
