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

/** Times that the oldest class of a team is passed over for others that match a worker better. */
const maxSkips = 16;

/** With more open shapes than this, the first teams have one. */
const maxScannedShapes = 8;

/**
 * Order in which waiting classes are tried: urgent work first, then by the rank of the team, then by
 * arrival. A shape that does not fit, and a class whose team is at its limit, are passed over until the
 * obstacle may be gone, so that a decision looks at nothing that cannot start.
 */
export class DispatchOrder {
  /** Finds work for reservations and loans. */
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
   * Brings the order up to date after a change of a class.
   *
   * @param group - the class
   */
  public update(group: RequestClass): void {
    const limited = this.#limitedClasses.get(group.team);
    if (group.first === undefined) {
      this.#remove(group);
      if (limited?.delete(group) === true && limited.size === 0)
        this.#limitedClasses.delete(group.team);
    } else if (limited?.has(group) !== true) this.#insert(group);
  }

  /**
   * Finds the class that is tried next.
   *
   * @returns the class, if any may start
   */
  public findNext(): RequestClass | undefined {
    return this.#chooseFirst(this.#urgent) ?? this.#chooseFirst(this.#normal);
  }

  /**
   * Ranks the teams that changed since the last call.
   *
   * @param rankTeam - calculates the rank; the lowest one comes first
   */
  public rankTeams(rankTeam: (team: string) => number): void {
    for (const team of this.#staleTeams) {
      if (this.#teams.readRank(team) !== undefined) this.#teams.set(team, rankTeam(team));
    }
    this.#staleTeams.clear();
  }

  /**
   * Notes that the rank of a team may have changed.
   *
   * @param team - name of the team
   */
  public invalidateTeam(team: string): void {
    this.#staleTeams.add(team);
  }

  /** Notes that the rank of every team may have changed. */
  public invalidateAllTeams(): void {
    for (const team of this.#teams.teams) this.#staleTeams.add(team);
  }

  /**
   * Passes over all classes of a shape that does not fit.
   *
   * @param group - a class of the shape
   * @param fitting - tasks of a gang for which there is room
   */
  public blockShape(group: RequestClass, fitting: number): void {
    this.#availability.block(group, fitting);
  }

  /**
   * Finds the only workers that may have room for a shape.
   *
   * @param group - a class of the shape
   * @returns the workers; undefined if any worker may have room
   */
  public findCandidates(group: RequestClass): ReadonlySet<WorkerRecord> | undefined {
    return this.#availability.findCandidates(group.shape);
  }

  /**
   * Passes over a class whose team is at its limit.
   *
   * @param group - the class
   */
  public blockClass(group: RequestClass): void {
    const groups = this.#limitedClasses.get(group.team) ?? new Set<RequestClass>();
    this.#limitedClasses.set(group.team, groups);
    groups.add(group);
    this.#remove(group);
  }

  /**
   * Tries the shapes again that fit after a change of a worker.
   *
   * @param worker - the worker
   * @param before - what it had left before the change
   * @param now - what it has left now
   */
  public updateWorker(worker: WorkerRecord, before: Capacity, now: Capacity): void {
    this.#availability.updateWorker(worker, before, now);
  }

  /** Tries urgent shapes again, which may use workers that are reserved for urgent work. */
  public unblockUrgent(): void {
    this.#availability.unblockUrgent();
  }

  /**
   * Tries a shape again.
   *
   * @param shape - the shape
   */
  public unblockShape(shape: string): void {
    this.#availability.unblock(shape);
  }

  /**
   * Tries the classes of a team again whose limit may allow more.
   *
   * @param team - name of the team
   */
  public unblockTeam(team: string): void {
    const groups = this.#limitedClasses.get(team);
    if (groups === undefined) return;
    this.#limitedClasses.delete(team);
    for (const group of groups) this.#insert(group);
  }

  /** Tries everything again. */
  public unblockAll(): void {
    this.#availability.unblockAll();
    for (const team of [...this.#limitedClasses.keys()]) this.unblockTeam(team);
  }

  /** Chooses among the classes that may fit: the oldest one of the team with the lowest rank. */
  #chooseFirst(lane: PriorityLevel): RequestClass | undefined {
    const { schedulable: open } = lane;
    if (open.size === 0) return undefined;
    const oldest =
      open.size > maxScannedShapes ? this.#searchTeams(lane) : this.#searchShapes(open);
    const isFixed = oldest === undefined || lane === this.#urgent;
    return isFixed ? oldest : this.#preferAligned(lane, oldest);
  }

  #searchTeams(lane: PriorityLevel): RequestClass | undefined {
    let oldest: RequestClass | undefined;
    let lowest = Infinity;
    for (const team of this.#teams.teams) {
      const rank = this.#teams.readRank(team) ?? 0;
      if (rank > lowest) break;
      for (const queue of lane.listQueues(team)) {
        const group = lane.schedulable.has(queue) ? queue.findFirst(team) : undefined;
        if (group === undefined) continue;
        lowest = rank;
        if (oldest === undefined || group.firstArrival < oldest.firstArrival) oldest = group;
      }
    }
    return oldest;
  }

  #searchShapes(open: Iterable<ShapeQueue>): RequestClass | undefined {
    let best: RequestClass | undefined;
    let lowest = Infinity;
    for (const queue of open) {
      const group = queue.findLowestRanked(this.#teams);
      if (group === undefined) continue;
      const rank = this.#teams.readRank(group.team) ?? 0;
      const isOlder = best === undefined || group.firstArrival < best.firstArrival;
      if (rank > lowest || (rank === lowest && !isOlder)) continue;
      best = group;
      lowest = rank;
    }
    return best;
  }

  /**
   * When a worker has grown, the class of the team whose shape matches its room best comes first;
   * otherwise, and after some passes, the oldest one.
   */
  #preferAligned(lane: PriorityLevel, oldest: RequestClass): RequestClass {
    if (!this.#availability.hasCandidates || oldest.skipCount >= maxSkips) return oldest;
    let best = oldest;
    let bestAlignment = 0;
    for (const queue of lane.schedulable) {
      const group = queue.findFirst(oldest.team);
      if (group === undefined) continue;
      for (const worker of this.#availability.findCandidates(group.shape) ?? []) {
        const free = selectFree(worker.freeCapacity, group.size, group.canUseAcceleratorReserve);
        const alignment = calculateAlignment(group.size, free, worker.totalCapacity);
        if (alignment <= bestAlignment) continue;
        best = group;
        bestAlignment = alignment;
      }
    }
    if (best !== oldest) oldest.countSkip();
    return best;
  }

  #selectLevel(group: RequestClass): PriorityLevel {
    return group.urgent ? this.#urgent : this.#normal;
  }

  #insert(group: RequestClass): void {
    this.#selectLevel(group).insert(group, !this.#availability.blocked.has(group.shape));
    if (this.#teams.readRank(group.team) !== undefined) return;
    this.#teams.set(group.team, 0);
    this.#staleTeams.add(group.team);
  }

  #remove(group: RequestClass): void {
    const { shape, team } = group;
    if (!this.#selectLevel(group).remove(group)) return;
    if (!this.#levels.some((lane) => lane.listQueues(team).size > 0)) this.#teams.delete(team);
    if (!this.#levels.some((lane) => lane.findQueue(shape) !== undefined))
      this.#availability.delete(shape);
  }
}
