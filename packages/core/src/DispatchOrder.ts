import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { calculateAlignment } from './calculateAlignment.js';
import type { Capacity } from './Capacity.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import type { RequestClass } from './RequestClass.js';
import { scaleResources } from './scaleResources.js';
import { selectFree } from './selectFree.js';
import { ShapeQueue } from './ShapeQueue.js';
import { TeamOrder } from './TeamOrder.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** Shapes of one priority. */
interface Lane {
  readonly queues: Map<string, ShapeQueue>;
  /** Shapes that may fit. */
  readonly open: Set<ShapeQueue>;
  readonly queuesOf: Map<string, Set<ShapeQueue>>;
}

/** Workers that may have room for a shape that fits nowhere else. */
interface Candidates {
  readonly sample: RequestClass;
  readonly workers: Set<WorkerRecord>;
}

/** Room for the gangs of one shape. */
interface GangRoom {
  readonly sample: RequestClass;
  /** Tasks for which there is room on all workers together. */
  fitting: number;
}

/** With more candidates than this, a search of the index is cheaper. */
const maxCandidates = 16;

/** Times that the oldest class of a team is passed over for others that match a worker better. */
const maxPasses = 16;

/** Searches for reservations look only at the teams that are furthest below their shares. */
const maxSearchedTeams = 32;

/** With more open shapes than this, the first teams have one. */
const fewOpen = 8;

const createLane = (): Lane => ({ queues: new Map(), open: new Set(), queuesOf: new Map() });

/**
 * Order in which waiting classes are tried: urgent work first, then by the rank of the team, then by
 * arrival. A shape that does not fit, and a class whose team is at its limit, are passed over until the
 * obstacle may be gone, so that a decision looks at nothing that cannot start.
 */
export class DispatchOrder {
  readonly #urgent = createLane();
  readonly #normal = createLane();
  /** A class of each shape that does not fit. */
  readonly #blocked = new Map<string, RequestClass>();
  /** Shapes of gangs that did not fit once; the room is counted from then on. */
  readonly #gangRooms = new Map<string, GangRoom>();
  /** Shapes that did not fit anywhere before these workers grew. */
  readonly #candidates = new Map<string, Candidates>();
  readonly #limited = new Map<string, Set<RequestClass>>();
  readonly #teams = new TeamOrder();
  readonly #unranked = new Set<string>();

  /**
   * Brings the order up to date after a change of a class.
   *
   * @param group - the class
   */
  public update(group: RequestClass): void {
    const limited = this.#limited.get(group.team);
    if (group.first === undefined) {
      this.#remove(group);
      if (limited?.delete(group) === true && limited.size === 0) this.#limited.delete(group.team);
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
    for (const team of this.#unranked) {
      if (this.#teams.readRank(team) !== undefined) this.#teams.set(team, rankTeam(team));
    }
    this.#unranked.clear();
  }

  /**
   * Notes that the rank of a team may have changed.
   *
   * @param team - name of the team
   */
  public touchTeam(team: string): void {
    this.#unranked.add(team);
  }

  /** Notes that the rank of every team may have changed. */
  public touchAllTeams(): void {
    for (const team of this.#teams.teams) this.#unranked.add(team);
  }

  /**
   * Passes over all classes of a shape that does not fit.
   *
   * @param group - a class of the shape
   * @param fitting - tasks of a gang for which there is room
   */
  public blockShape(group: RequestClass, fitting: number): void {
    if (group.isGang && !group.urgent) this.#gangRooms.set(group.shape, { sample: group, fitting });
    this.#block(group);
  }

  /**
   * Finds the only workers that may have room for a shape.
   *
   * @param group - a class of the shape
   * @returns the workers; undefined if any worker may have room
   */
  public findCandidates(group: RequestClass): ReadonlySet<WorkerRecord> | undefined {
    return this.#candidates.get(group.shape)?.workers;
  }

  /**
   * Passes over a class whose team is at its limit.
   *
   * @param group - the class
   */
  public limitClass(group: RequestClass): void {
    const groups = this.#limited.get(group.team) ?? new Set<RequestClass>();
    this.#limited.set(group.team, groups);
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
  public noteWorker(worker: WorkerRecord, before: Capacity, now: Capacity): void {
    const hasGrown =
      !coversResources(before.free, now.free) || !coversResources(before.open, now.open);
    this.#reviewCandidates(worker, now);
    if (hasGrown) this.#noteGrown(worker, now);
    for (const gang of this.#gangRooms.values()) {
      this.#noteGangRoom(gang, worker, before.free, now.free);
    }
  }

  /** Tries urgent shapes again, which may use workers that are reserved for urgent work. */
  public retryUrgent(): void {
    for (const [shape, { urgent }] of this.#blocked) if (urgent) this.#reopen(shape);
  }

  /**
   * Lists the classes of gangs that wait for capacity.
   *
   * @returns the classes by the arrival of their oldest request
   */
  public listBlockedGangs(): readonly RequestClass[] {
    const gangs: RequestClass[] = [];
    for (const [shape, { isGang }] of this.#blocked) {
      if (!isGang) continue;
      for (const { queues } of [this.#urgent, this.#normal]) {
        gangs.push(...(queues.get(shape)?.listGroups() ?? []));
      }
    }
    return gangs.sort((left, right) => left.firstOrder - right.firstOrder);
  }

  /**
   * Finds a class that waits for capacity, other than of gangs or urgent work.
   *
   * @param accepts - whether a class is looked for
   * @returns the oldest such class of the team with the lowest rank, if there is one
   */
  public findBlocked(accepts: (group: RequestClass) => boolean): RequestClass | undefined {
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      let oldest: RequestClass | undefined;
      for (const queue of this.#normal.queuesOf.get(team) ?? []) {
        if (queue.sample.isGang || !this.#blocked.has(queue.sample.shape)) continue;
        const group = queue.findFirst(team);
        if (group === undefined || !accepts(group)) continue;
        if (oldest === undefined || group.firstOrder < oldest.firstOrder) oldest = group;
      }
      if (oldest !== undefined) return oldest;
    }
    return undefined;
  }

  /**
   * Finds work that fits into capacity which other work may not take.
   *
   * @param worker - worker with the capacity
   * @param free - the capacity
   * @param maxRunMs - longest declared run time on this worker
   * @returns a class of the team with the lowest rank whose oldest request fits, if there is one
   */
  public findShort(
    worker: WorkerRecord,
    free: Resources,
    maxRunMs: number,
  ): RequestClass | undefined {
    const fitting = [...this.#normal.queues.values()].filter(({ sample }) => {
      const { size, acceleratorType, isGang } = sample;
      return !isGang && coversResources(free, size) && worker.isSuitable(size, acceleratorType);
    });
    if (fitting.length === 0) return undefined;
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      for (const queue of fitting) {
        const group = queue.findFirst(team);
        const request = group?.first?.request;
        if (request?.kind !== 'batch' || !worker.mayHost(request)) continue;
        if (request.runTimeMs / worker.speed <= maxRunMs) return group;
      }
    }
    return undefined;
  }

  /**
   * Sorts classes by the rank of their teams.
   *
   * @param groups - the classes
   * @returns the same classes; those of one rank keep their order
   */
  public sortByRank(groups: readonly RequestClass[]): readonly RequestClass[] {
    const readRank = ({ team }: RequestClass): number => this.#teams.readRank(team) ?? 0;
    return [...groups].sort((left, right) => readRank(left) - readRank(right));
  }

  /**
   * Sums the waiting work that needs accelerators and whose team is not at its limit.
   *
   * @returns its size
   */
  public sumAcceleratorWork(): Resources {
    let sum = zeroResources;
    for (const { queues } of [this.#urgent, this.#normal]) {
      for (const queue of queues.values()) {
        const { size, atOnce } = queue.sample;
        if (size.accelerators === 0) continue;
        sum = addResources(sum, scaleResources(size, queue.countRequests() * atOnce));
      }
    }
    return sum;
  }

  /**
   * Tries a shape again.
   *
   * @param shape - the shape
   */
  public retryShape(shape: string): void {
    this.#candidates.delete(shape);
    this.#reopen(shape);
  }

  /**
   * Tries the classes of a team again whose limit may allow more.
   *
   * @param team - name of the team
   */
  public retryTeam(team: string): void {
    const groups = this.#limited.get(team);
    if (groups === undefined) return;
    this.#limited.delete(team);
    for (const group of groups) this.#insert(group);
  }

  /** Tries everything again. */
  public retryAll(): void {
    this.#candidates.clear();
    for (const shape of [...this.#blocked.keys()]) this.#reopen(shape);
    for (const team of [...this.#limited.keys()]) this.retryTeam(team);
  }

  /** Chooses among the classes that may fit: the oldest one of the team with the lowest rank. */
  #chooseFirst(lane: Lane): RequestClass | undefined {
    const { open } = lane;
    if (open.size === 0) return undefined;
    const oldest = open.size > fewOpen ? this.#searchTeams(lane) : this.#searchShapes(open);
    const isFixed = oldest === undefined || lane === this.#urgent;
    return isFixed ? oldest : this.#preferAligned(lane, oldest);
  }

  #searchTeams({ open, queuesOf }: Lane): RequestClass | undefined {
    let oldest: RequestClass | undefined;
    let lowest = Infinity;
    for (const team of this.#teams.teams) {
      const rank = this.#teams.readRank(team) ?? 0;
      if (rank > lowest) break;
      for (const queue of queuesOf.get(team) ?? []) {
        const group = open.has(queue) ? queue.findFirst(team) : undefined;
        if (group === undefined) continue;
        lowest = rank;
        if (oldest === undefined || group.firstOrder < oldest.firstOrder) oldest = group;
      }
    }
    return oldest;
  }

  #searchShapes(open: Iterable<ShapeQueue>): RequestClass | undefined {
    let best: RequestClass | undefined;
    let lowest = Infinity;
    for (const queue of open) {
      const group = queue.findLowest(this.#teams);
      if (group === undefined) continue;
      const rank = this.#teams.readRank(group.team) ?? 0;
      const isOlder = best === undefined || group.firstOrder < best.firstOrder;
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
  #preferAligned(lane: Lane, oldest: RequestClass): RequestClass {
    if (this.#candidates.size === 0 || oldest.passes >= maxPasses) return oldest;
    let best = oldest;
    let bestAlignment = 0;
    for (const queue of lane.open) {
      const group = queue.findFirst(oldest.team);
      if (group === undefined) continue;
      for (const worker of this.#candidates.get(group.shape)?.workers ?? []) {
        const free = selectFree(worker.capacity, group.size, group.usesKept);
        const alignment = calculateAlignment(group.size, free, worker.room);
        if (alignment <= bestAlignment) continue;
        best = group;
        bestAlignment = alignment;
      }
    }
    if (best !== oldest) oldest.notePass();
    return best;
  }

  #reopen(shape: string): void {
    if (!this.#blocked.delete(shape)) return;
    for (const lane of [this.#urgent, this.#normal]) {
      const queue = lane.queues.get(shape);
      if (queue === undefined) continue;
      lane.open.add(queue);
    }
  }

  /** A start takes the room of other shapes, which are blocked here without another search. */
  #reviewCandidates(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, { sample, workers }] of this.#candidates) {
      if (this.#canTake(worker, capacity, sample)) workers.add(worker);
      else if (workers.delete(worker) && workers.size === 0) this.#block(sample);
      if (workers.size > maxCandidates) this.#candidates.delete(shape);
    }
  }

  #noteGrown(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, sample] of this.#blocked) {
      if (this.#gangRooms.has(shape) || !this.#canTake(worker, capacity, sample)) continue;
      const isNarrow = !sample.isGang && !sample.urgent;
      if (isNarrow) this.#candidates.set(shape, { sample, workers: new Set([worker]) });
      this.#reopen(shape);
    }
  }

  #canTake(worker: WorkerRecord, capacity: Capacity, sample: RequestClass): boolean {
    const { size, acceleratorType, usesKept } = sample;
    const isSuitable = acceleratorType === undefined || acceleratorType === worker.acceleratorType;
    return isSuitable && coversResources(selectFree(capacity, size, usesKept), size);
  }

  #noteGangRoom(gang: GangRoom, worker: WorkerRecord, before: Resources, free: Resources): void {
    const { size, acceleratorType, atOnce, shape } = gang.sample;
    if (!worker.isSuitable(size, acceleratorType)) return;
    gang.fitting += countTasks(free, size) - countTasks(before, size);
    if (gang.fitting >= atOnce) this.#reopen(shape);
    else if (!this.#blocked.has(shape)) this.#block(gang.sample);
  }

  #block(group: RequestClass): void {
    this.#blocked.set(group.shape, group);
    this.#candidates.delete(group.shape);
    for (const lane of [this.#urgent, this.#normal]) {
      const queue = lane.queues.get(group.shape);
      if (queue !== undefined) lane.open.delete(queue);
    }
  }

  #findLane(group: RequestClass): Lane {
    return group.urgent ? this.#urgent : this.#normal;
  }

  #insert(group: RequestClass): void {
    const { queues, open, queuesOf } = this.#findLane(group);
    let queue = queues.get(group.shape);
    if (queue === undefined) {
      queue = new ShapeQueue(group);
      queues.set(group.shape, queue);
      if (!this.#blocked.has(group.shape)) open.add(queue);
    }
    queue.set(group);
    const known = queuesOf.get(group.team) ?? new Set<ShapeQueue>();
    queuesOf.set(group.team, known.add(queue));
    if (this.#teams.readRank(group.team) !== undefined) return;
    this.#teams.set(group.team, 0);
    this.#unranked.add(group.team);
  }

  #remove(group: RequestClass): void {
    const lane = this.#findLane(group);
    const queue = lane.queues.get(group.shape);
    if (queue?.delete(group) !== true) return;
    if (!queue.hasTeam(group.team)) this.#forget(lane, queue, group.team);
    if (!queue.isEmpty) return;
    lane.open.delete(queue);
    lane.queues.delete(group.shape);
    const hasOther = this.#urgent.queues.has(group.shape) || this.#normal.queues.has(group.shape);
    if (hasOther) return;
    this.#blocked.delete(group.shape);
    this.#candidates.delete(group.shape);
    this.#gangRooms.delete(group.shape);
  }
  #forget({ queuesOf }: Lane, queue: ShapeQueue, team: string): void {
    const known = queuesOf.get(team);
    known?.delete(queue);
    if (known?.size === 0) queuesOf.delete(team);
    const hasOther = this.#urgent.queuesOf.has(team) || this.#normal.queuesOf.has(team);
    if (!hasOther) this.#teams.delete(team);
  }
}
