import type { Resources } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import type { PriorityLevel } from './PriorityLevel.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import type { RequestClass } from './RequestClass.js';
import { selectFree } from './selectFree.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Workers that may have room for a shape that fits nowhere else. */
interface Candidates {
  readonly representative: RequestClass;
  readonly workers: Set<WorkerRecord>;
}

/** Room for the gangs of one shape. */
interface GangCapacity {
  readonly representative: RequestClass;
  /** Tasks for which there is room on all workers together. */
  fittingTasks: number;
}

/** With more candidates than this, a search of the index is cheaper. */
const maxCandidates = 16;

/** Follows which shapes fit nowhere, and which ones only on workers that have grown since. */
export class ShapeAvailability {
  readonly #levels: readonly PriorityLevel[];
  /** A class of each shape that does not fit. */
  readonly #blocked = new Map<string, RequestClass>();
  /** Shapes of gangs that did not fit once; the room is counted from then on. */
  readonly #gangCapacities = new Map<string, GangCapacity>();
  /** Shapes that did not fit anywhere before these workers grew. */
  readonly #candidates = new Map<string, Candidates>();

  /** @param lanes - waiting classes, whose shapes are opened and closed */
  public constructor(lanes: readonly PriorityLevel[]) {
    this.#levels = lanes;
  }

  /** A class of each shape that does not fit. */
  public get blocked(): ReadonlyMap<string, RequestClass> {
    return this.#blocked;
  }

  /** Whether some shape fits only on workers that have grown. */
  public get hasCandidates(): boolean {
    return this.#candidates.size > 0;
  }

  /**
   * Finds the only workers that may have room for a shape.
   *
   * @param shape - the shape
   * @returns the workers; undefined if any worker may have room
   */
  public findCandidates(shape: string): ReadonlySet<WorkerRecord> | undefined {
    return this.#candidates.get(shape)?.workers;
  }

  /**
   * Closes a shape that does not fit.
   *
   * @param group - a class of the shape
   * @param fitting - tasks of a gang for which there is room
   */
  public block(group: RequestClass, fitting: number): void {
    if (group.isGang && !group.urgent)
      this.#gangCapacities.set(group.shape, { representative: group, fittingTasks: fitting });
    this.#markBlocked(group);
  }

  /**
   * Opens a shape again.
   *
   * @param shape - the shape
   */
  public unblock(shape: string): void {
    this.#candidates.delete(shape);
    this.#markSchedulable(shape);
  }

  /** Opens urgent shapes again. */
  public unblockUrgent(): void {
    for (const [shape, { urgent }] of this.#blocked) if (urgent) this.#markSchedulable(shape);
  }

  /** Opens all shapes again. */
  public unblockAll(): void {
    this.#candidates.clear();
    for (const shape of [...this.#blocked.keys()]) this.#markSchedulable(shape);
  }

  /**
   * Forgets a shape of which nothing waits.
   *
   * @param shape - the shape
   */
  public delete(shape: string): void {
    this.#blocked.delete(shape);
    this.#candidates.delete(shape);
    this.#gangCapacities.delete(shape);
  }

  /**
   * Opens the shapes that fit after a change of a worker.
   *
   * @param worker - the worker
   * @param before - what it had left before the change
   * @param now - what it has left now
   */
  public updateWorker(worker: WorkerRecord, before: Capacity, now: Capacity): void {
    const hasGrown =
      !coversResources(before.free, now.free) ||
      !coversResources(before.unreserved, now.unreserved);
    this.#updateCandidates(worker, now);
    if (hasGrown) this.#unblockFitting(worker, now);
    for (const gang of this.#gangCapacities.values()) {
      this.#updateGangCapacity(gang, worker, before.free, now.free);
    }
  }

  /** A start takes the room of other shapes, which are blocked here without another search. */
  #updateCandidates(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, { representative: sample, workers }] of this.#candidates) {
      if (this.#canFit(worker, capacity, sample)) workers.add(worker);
      else if (workers.delete(worker) && workers.size === 0) this.#markBlocked(sample);
      if (workers.size > maxCandidates) this.#candidates.delete(shape);
    }
  }

  #unblockFitting(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, sample] of this.#blocked) {
      if (this.#gangCapacities.has(shape) || !this.#canFit(worker, capacity, sample)) continue;
      const isNarrow = !sample.isGang && !sample.urgent;
      if (isNarrow)
        this.#candidates.set(shape, { representative: sample, workers: new Set([worker]) });
      this.#markSchedulable(shape);
    }
  }

  #canFit(worker: WorkerRecord, capacity: Capacity, sample: RequestClass): boolean {
    const { size, acceleratorType, canUseAcceleratorReserve: usesKept } = sample;
    const isSuitable = acceleratorType === undefined || acceleratorType === worker.acceleratorType;
    return isSuitable && coversResources(selectFree(capacity, size, usesKept), size);
  }

  #updateGangCapacity(
    gang: GangCapacity,
    worker: WorkerRecord,
    before: Resources,
    free: Resources,
  ): void {
    const { size, acceleratorType, gangSize: atOnce, shape } = gang.representative;
    if (!worker.isSuitable(size, acceleratorType)) return;
    gang.fittingTasks += countTasks(free, size) - countTasks(before, size);
    if (gang.fittingTasks >= atOnce) this.#markSchedulable(shape);
    else if (!this.#blocked.has(shape)) this.#markBlocked(gang.representative);
  }

  #markSchedulable(shape: string): void {
    if (!this.#blocked.delete(shape)) return;
    for (const lane of this.#levels) lane.setSchedulable(shape, true);
  }

  #markBlocked(group: RequestClass): void {
    this.#blocked.set(group.shape, group);
    this.#candidates.delete(group.shape);
    for (const lane of this.#levels) lane.setSchedulable(group.shape, false);
  }
}
