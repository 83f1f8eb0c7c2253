import { calculateAlignment } from './calculateAlignment.js';
import type { Capacity } from './Capacity.js';
import { PriorityLevel } from './PriorityLevel.js';
import type { RequestClass } from './RequestClass.js';
import { selectFree } from './selectFree.js';
import type { ShapeQueue } from './ShapeQueue.js';
import { ShapeAvailability } from './ShapeAvailability.js';
import { TeamOrder } from './TeamOrder.js';
import { WaitingSearch } from './WaitingSearch.js';
import type { WorkerRecord } from './WorkerRecord.js';

/**
 * Maximum number of times that the oldest class of a team is skipped for classes that match a
 * worker better.
 */
const maxSkips = 16;

/**
 * Number of schedulable shapes up to which all of them are searched. With more, a search by team is
 * faster, because one of the first teams has a schedulable shape.
 */
const maxScannedShapes = 8;

/**
 * Order in which waiting classes are tried: urgent work first, then by the rank of the team, then
 * by arrival. A shape that does not fit and a class whose team is at its limit are blocked until
 * the cause may be gone, so that a decision only considers classes that may start.
 */
export class DispatchOrder {
  /** Finds waiting classes for reservations and backfill. */
  public readonly search: WaitingSearch;
  readonly #urgent = new PriorityLevel();
  readonly #normal = new PriorityLevel();
  readonly #levels = [this.#urgent, this.#normal];
  readonly #availability = new ShapeAvailability(this.#levels);
  readonly #limitedClasses = new Map<string, Set<RequestClass>>();
  readonly #teams = new TeamOrder();
  readonly #staleTeams = new Set<string>();

  public constructor() {
    this.search = new WaitingSearch(this.#urgent, this.#normal, this.#availability, this.#teams);
  }

  /**
   * Updates the order after a change of a class.
   *
   * @param requestClass - the class
   */
  public update(requestClass: RequestClass): void {
    const limited = this.#limitedClasses.get(requestClass.team);
    if (requestClass.first === undefined) {
      this.#remove(requestClass);
      if (limited?.delete(requestClass) === true && limited.size === 0)
        this.#limitedClasses.delete(requestClass.team);
    } else if (limited?.has(requestClass) !== true) this.#insert(requestClass);
  }

  /**
   * Finds the class to try next.
   *
   * @returns the class; undefined if none may start
   */
  public findNext(): RequestClass | undefined {
    return this.#chooseFirst(this.#urgent) ?? this.#chooseFirst(this.#normal);
  }

  /**
   * Ranks the teams whose rank was invalidated since the last call.
   *
   * @param rankTeam - calculates the rank of a team; the team with the lowest rank comes first
   */
  public rankTeams(rankTeam: (team: string) => number): void {
    for (const team of this.#staleTeams) {
      if (this.#teams.readRank(team) !== undefined) this.#teams.set(team, rankTeam(team));
    }
    this.#staleTeams.clear();
  }

  /**
   * Invalidates the rank of a team.
   *
   * @param team - name of the team
   */
  public invalidateTeam(team: string): void {
    this.#staleTeams.add(team);
  }

  /** Invalidates the ranks of all teams. */
  public invalidateAllTeams(): void {
    for (const team of this.#teams.teams) this.#staleTeams.add(team);
  }

  /**
   * Blocks all classes of a shape that does not fit.
   *
   * @param requestClass - a class of the shape
   * @param fitting - number of tasks of a gang that fit
   */
  public blockShape(requestClass: RequestClass, fitting: number): void {
    this.#availability.block(requestClass, fitting);
  }

  /**
   * Finds the only workers that may have enough capacity for a shape.
   *
   * @param requestClass - a class of the shape
   * @returns the workers; undefined if any worker may have enough capacity
   */
  public findCandidates(requestClass: RequestClass): ReadonlySet<WorkerRecord> | undefined {
    return this.#availability.findCandidates(requestClass.shape);
  }

  /**
   * Blocks a class whose team is at its limit.
   *
   * @param requestClass - the class
   */
  public blockClass(requestClass: RequestClass): void {
    const blockedClasses = this.#limitedClasses.get(requestClass.team) ?? new Set<RequestClass>();
    this.#limitedClasses.set(requestClass.team, blockedClasses);
    blockedClasses.add(requestClass);
    this.#remove(requestClass);
  }

  /**
   * Unblocks the shapes that may fit after a change of a worker.
   *
   * @param worker - the worker
   * @param before - its free capacity before the change
   * @param now - its free capacity after the change
   */
  public updateWorker(worker: WorkerRecord, before: Capacity, now: Capacity): void {
    this.#availability.updateWorker(worker, before, now);
  }

  /** Unblocks urgent shapes, which may use workers that are reserved for urgent work. */
  public unblockUrgent(): void {
    this.#availability.unblockUrgent();
  }

  /**
   * Unblocks a shape.
   *
   * @param shape - the shape
   */
  public unblockShape(shape: string): void {
    this.#availability.unblock(shape);
  }

  /**
   * Unblocks the classes of a team whose limit may admit more tasks.
   *
   * @param team - name of the team
   */
  public unblockTeam(team: string): void {
    const blockedClasses = this.#limitedClasses.get(team);
    if (blockedClasses === undefined) return;
    this.#limitedClasses.delete(team);
    for (const requestClass of blockedClasses) this.#insert(requestClass);
  }

  /** Unblocks all classes. */
  public unblockAll(): void {
    this.#availability.unblockAll();
    for (const team of [...this.#limitedClasses.keys()]) this.unblockTeam(team);
  }

  /** Chooses the oldest schedulable class of the team with the lowest rank. */
  #chooseFirst(level: PriorityLevel): RequestClass | undefined {
    const { schedulable } = level;
    if (schedulable.size === 0) return undefined;
    const oldest =
      schedulable.size > maxScannedShapes
        ? this.#searchTeams(level)
        : this.#searchShapes(schedulable);
    const isFinal = oldest === undefined || level === this.#urgent;
    return isFinal ? oldest : this.#preferAligned(level, oldest);
  }

  #searchTeams(level: PriorityLevel): RequestClass | undefined {
    let oldest: RequestClass | undefined;
    let lowest = Infinity;
    for (const team of this.#teams.teams) {
      const rank = this.#teams.readRank(team) ?? 0;
      if (rank > lowest) break;
      for (const queue of level.listQueues(team)) {
        const requestClass = level.schedulable.has(queue) ? queue.findFirst(team) : undefined;
        if (requestClass === undefined) continue;
        lowest = rank;
        if (oldest === undefined || requestClass.firstArrival < oldest.firstArrival)
          oldest = requestClass;
      }
    }
    return oldest;
  }

  #searchShapes(schedulable: Iterable<ShapeQueue>): RequestClass | undefined {
    let best: RequestClass | undefined;
    let lowest = Infinity;
    for (const queue of schedulable) {
      const requestClass = queue.findLowestRanked(this.#teams);
      if (requestClass === undefined) continue;
      const rank = this.#teams.readRank(requestClass.team) ?? 0;
      const isOlder = best === undefined || requestClass.firstArrival < best.firstArrival;
      if (rank > lowest || (rank === lowest && !isOlder)) continue;
      best = requestClass;
      lowest = rank;
    }
    return best;
  }

  /**
   * Prefers the class of the same team whose shape matches best the free capacity of a worker that
   * has gained capacity. Without such a worker, and after `maxSkips` skips, keeps the oldest class.
   */
  #preferAligned(level: PriorityLevel, oldest: RequestClass): RequestClass {
    if (!this.#availability.hasCandidates || oldest.skipCount >= maxSkips) return oldest;
    let best = oldest;
    let bestAlignment = 0;
    for (const queue of level.schedulable) {
      const requestClass = queue.findFirst(oldest.team);
      if (requestClass === undefined) continue;
      for (const worker of this.#availability.findCandidates(requestClass.shape) ?? []) {
        const free = selectFree(
          worker.freeCapacity,
          requestClass.size,
          requestClass.canUseAcceleratorReserve,
        );
        const alignment = calculateAlignment(requestClass.size, free, worker.totalCapacity);
        if (alignment <= bestAlignment) continue;
        best = requestClass;
        bestAlignment = alignment;
      }
    }
    if (best !== oldest) oldest.countSkip();
    return best;
  }

  #selectLevel(requestClass: RequestClass): PriorityLevel {
    return requestClass.urgent ? this.#urgent : this.#normal;
  }

  #insert(requestClass: RequestClass): void {
    this.#selectLevel(requestClass).insert(
      requestClass,
      !this.#availability.blocked.has(requestClass.shape),
    );
    if (this.#teams.readRank(requestClass.team) !== undefined) return;
    this.#teams.set(requestClass.team, 0);
    this.#staleTeams.add(requestClass.team);
  }

  #remove(requestClass: RequestClass): void {
    const { shape, team } = requestClass;
    if (!this.#selectLevel(requestClass).remove(requestClass)) return;
    if (!this.#levels.some((level) => level.listQueues(team).size > 0)) this.#teams.delete(team);
    if (!this.#levels.some((level) => level.findQueue(shape) !== undefined))
      this.#availability.delete(shape);
  }
}
