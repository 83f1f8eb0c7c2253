import type { Resources } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import type { PriorityLevel } from './PriorityLevel.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import type { RequestClass } from './RequestClass.js';
import { selectFree } from './selectFree.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Workers that may have enough capacity for a shape that does not fit elsewhere. */
interface Candidates {
  readonly representative: RequestClass;
  readonly workers: Set<WorkerRecord>;
}

/** Capacity for the gangs of one shape. */
interface GangCapacity {
  readonly representative: RequestClass;
  /** Number of tasks that fit on all workers together. */
  fittingTasks: number;
}

/** Maximum number of candidates; with more, a search of the index is cheaper. */
const maxCandidates = 16;

/**
 * Tracks which shapes fit on no worker, and which only on workers that have gained capacity since.
 */
export class ShapeAvailability {
  readonly #levels: readonly PriorityLevel[];
  /** One class of each shape that does not fit. */
  readonly #blocked = new Map<string, RequestClass>();
  /**
   * Shapes of gangs that did not fit at some time; the number of fitting tasks is tracked from then
   * on.
   */
  readonly #gangCapacities = new Map<string, GangCapacity>();
  /** Shapes that did not fit on any worker before these workers gained capacity. */
  readonly #candidates = new Map<string, Candidates>();

  /** @param levels - waiting classes, whose shapes are marked as schedulable or blocked */
  public constructor(levels: readonly PriorityLevel[]) {
    this.#levels = levels;
  }

  /** One class of each shape that does not fit. */
  public get blocked(): ReadonlyMap<string, RequestClass> {
    return this.#blocked;
  }

  /** Whether some shape fits only on workers that have gained capacity. */
  public get hasCandidates(): boolean {
    return this.#candidates.size > 0;
  }

  /**
   * Finds the only workers that may have enough capacity for a shape.
   *
   * @param shape - the shape
   * @returns the workers; undefined if any worker may have enough capacity
   */
  public findCandidates(shape: string): ReadonlySet<WorkerRecord> | undefined {
    return this.#candidates.get(shape)?.workers;
  }

  /**
   * Blocks a shape that does not fit.
   *
   * @param requestClass - a class of the shape
   * @param fitting - number of tasks of a gang that fit
   */
  public block(requestClass: RequestClass, fitting: number): void {
    if (requestClass.isGang && !requestClass.urgent)
      this.#gangCapacities.set(requestClass.shape, {
        representative: requestClass,
        fittingTasks: fitting,
      });
    this.#markBlocked(requestClass);
  }

  /**
   * Unblocks a shape.
   *
   * @param shape - the shape
   */
  public unblock(shape: string): void {
    this.#candidates.delete(shape);
    this.#markSchedulable(shape);
  }

  /** Unblocks all urgent shapes. */
  public unblockUrgent(): void {
    for (const [shape, { urgent }] of this.#blocked) if (urgent) this.#markSchedulable(shape);
  }

  /** Unblocks all shapes. */
  public unblockAll(): void {
    this.#candidates.clear();
    for (const shape of [...this.#blocked.keys()]) this.#markSchedulable(shape);
  }

  /**
   * Deletes the state of a shape of which no class waits.
   *
   * @param shape - the shape
   */
  public delete(shape: string): void {
    this.#blocked.delete(shape);
    this.#candidates.delete(shape);
    this.#gangCapacities.delete(shape);
  }

  /**
   * Unblocks the shapes that may fit after a change of a worker.
   *
   * @param worker - the worker
   * @param before - its free capacity before the change
   * @param now - its free capacity after the change
   */
  public updateWorker(worker: WorkerRecord, before: Capacity, now: Capacity): void {
    const hasGained =
      !coversResources(before.free, now.free) ||
      !coversResources(before.unreserved, now.unreserved);
    this.#updateCandidates(worker, now);
    if (hasGained) this.#unblockFitting(worker, now);
    for (const gang of this.#gangCapacities.values()) {
      this.#updateGangCapacity(gang, worker, before.free, now.free);
    }
  }

  /**
   * Updates the candidates of all shapes. A start uses capacity that other shapes may need; shapes
   * that have no candidates left are blocked without another search.
   */
  #updateCandidates(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, { representative, workers }] of this.#candidates) {
      if (this.#canFit(worker, capacity, representative)) workers.add(worker);
      else if (workers.delete(worker) && workers.size === 0) this.#markBlocked(representative);
      if (workers.size > maxCandidates) this.#candidates.delete(shape);
    }
  }

  #unblockFitting(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, representative] of this.#blocked) {
      if (this.#gangCapacities.has(shape) || !this.#canFit(worker, capacity, representative))
        continue;
      const canUseCandidates = !representative.isGang && !representative.urgent;
      if (canUseCandidates)
        this.#candidates.set(shape, { representative, workers: new Set([worker]) });
      this.#markSchedulable(shape);
    }
  }

  #canFit(worker: WorkerRecord, capacity: Capacity, representative: RequestClass): boolean {
    const { size, acceleratorType, canUseAcceleratorReserve: mayUseReserve } = representative;
    const isSuitable = acceleratorType === undefined || acceleratorType === worker.acceleratorType;
    return isSuitable && coversResources(selectFree(capacity, size, mayUseReserve), size);
  }

  #updateGangCapacity(
    gang: GangCapacity,
    worker: WorkerRecord,
    before: Resources,
    free: Resources,
  ): void {
    const { size, acceleratorType, gangSize, shape } = gang.representative;
    if (!worker.isSuitable(size, acceleratorType)) return;
    gang.fittingTasks += countTasks(free, size) - countTasks(before, size);
    if (gang.fittingTasks >= gangSize) this.#markSchedulable(shape);
    else if (!this.#blocked.has(shape)) this.#markBlocked(gang.representative);
  }

  #markSchedulable(shape: string): void {
    if (!this.#blocked.delete(shape)) return;
    for (const level of this.#levels) level.setSchedulable(shape, true);
  }

  #markBlocked(requestClass: RequestClass): void {
    this.#blocked.set(requestClass.shape, requestClass);
    this.#candidates.delete(requestClass.shape);
    for (const level of this.#levels) level.setSchedulable(requestClass.shape, false);
  }
}
