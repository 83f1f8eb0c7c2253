import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { calculateAlignment } from './calculateAlignment.js';
import type { Capacity } from './Capacity.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import { IndexedHeap } from './IndexedHeap.js';
import type { RequestClass } from './RequestClass.js';
import { scaleResources } from './scaleResources.js';
import { selectFree } from './selectFree.js';
import { ShapeQueue } from './ShapeQueue.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** Shapes of one priority; those that may fit are in the order in which they are tried. */
interface Lane {
  readonly queues: Map<string, ShapeQueue>;
  readonly open: IndexedHeap<ShapeQueue>;
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

const createLane = (): Lane => ({ queues: new Map(), open: new IndexedHeap() });

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
  readonly #ranks = new Map<string, number>();
  readonly #unranked = new Set<string>();
  readonly #queuesOf = new Map<string, Set<ShapeQueue>>();

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
    return this.#urgent.open.first?.first ?? this.#chooseAligned();
  }

  /**
   * Ranks the teams that changed since the last call.
   *
   * @param rankTeam - calculates the rank; the lowest one comes first
   */
  public rankTeams(rankTeam: (team: string) => number): void {
    for (const team of this.#unranked) {
      const rank = rankTeam(team);
      if (this.#ranks.get(team) === rank) continue;
      this.#ranks.set(team, rank);
      for (const queue of this.#queuesOf.get(team) ?? []) {
        if (this.#blocked.has(queue.sample.shape)) {
          queue.markStale(team);
          continue;
        }
        queue.rank(team, rank);
        this.#open(queue);
      }
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
    for (const team of this.#queuesOf.keys()) this.#unranked.add(team);
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

  /**
   * Chooses among the classes of the team with the lowest rank. When a worker has grown, the class
   * whose shape matches its room best comes first; otherwise, and after some passes, the oldest one.
   */
  #chooseAligned(): RequestClass | undefined {
    const queues = this.#normal.open.listFirst();
    const oldest = queues[0]?.first;
    if (oldest === undefined || queues.length === 1 || oldest.passes >= maxPasses) return oldest;
    let best = oldest;
    let bestAlignment = 0;
    for (const { first } of queues) {
      if (first?.team !== oldest.team) continue;
      for (const worker of this.#candidates.get(first.shape)?.workers ?? []) {
        const free = selectFree(worker.capacity, first.size, first.usesKept);
        const alignment = calculateAlignment(first.size, free, worker.room);
        if (alignment <= bestAlignment) continue;
        best = first;
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
      queue.rankStale((team) => this.#ranks.get(team) ?? 0);
      this.#open(queue);
    }
  }

  #noteGrown(worker: WorkerRecord, capacity: Capacity): void {
    const { acceleratorType } = worker;
    const canTake = ({ size, acceleratorType: wanted, usesKept }: RequestClass): boolean =>
      coversResources(selectFree(capacity, size, usesKept), size) &&
      (wanted === undefined || wanted === acceleratorType);
    for (const [shape, { sample, workers }] of this.#candidates) {
      if (canTake(sample)) workers.add(worker);
      if (workers.size > maxCandidates) this.#candidates.delete(shape);
    }
    for (const [shape, sample] of this.#blocked) {
      if (this.#gangRooms.has(shape) || !canTake(sample)) continue;
      const isNarrow = !sample.isGang && !sample.urgent;
      if (isNarrow) this.#candidates.set(shape, { sample, workers: new Set([worker]) });
      this.#reopen(shape);
    }
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

  #open(queue: ShapeQueue): void {
    const { sample, first, firstRank } = queue;
    if (first === undefined || this.#blocked.has(sample.shape)) return;
    this.#findLane(sample).open.set(queue, firstRank, first.firstOrder);
  }

  #insert(group: RequestClass): void {
    const { queues } = this.#findLane(group);
    const queue = queues.get(group.shape) ?? new ShapeQueue(group);
    queues.set(group.shape, queue);
    const known = this.#queuesOf.get(group.team) ?? new Set<ShapeQueue>();
    this.#queuesOf.set(group.team, known);
    known.add(queue);
    const rank = this.#ranks.get(group.team);
    if (rank === undefined) this.#unranked.add(group.team);
    queue.set(group, rank ?? 0);
    this.#open(queue);
  }

  #remove(group: RequestClass): void {
    const lane = this.#findLane(group);
    const queue = lane.queues.get(group.shape);
    if (queue?.delete(group, this.#ranks.get(group.team) ?? 0) !== true) return;
    if (!queue.hasTeam(group.team)) {
      const known = this.#queuesOf.get(group.team);
      known?.delete(queue);
      if (known?.size === 0) {
        this.#queuesOf.delete(group.team);
        this.#ranks.delete(group.team);
      }
    }
    if (!queue.isEmpty) {
      this.#open(queue);
      return;
    }
    lane.open.delete(queue);
    lane.queues.delete(group.shape);
    const hasOther = this.#urgent.queues.has(group.shape) || this.#normal.queues.has(group.shape);
    if (hasOther) return;
    this.#blocked.delete(group.shape);
    this.#candidates.delete(group.shape);
    this.#gangRooms.delete(group.shape);
  }
}
