import type { Resources } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import type { ClassLane } from './ClassLane.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import type { RequestClass } from './RequestClass.js';
import { selectFree } from './selectFree.js';
import type { WorkerRecord } from './WorkerRecord.js';

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

/** Follows which shapes fit nowhere, and which ones only on workers that have grown since. */
export class ShapeRooms {
  readonly #lanes: readonly ClassLane[];
  /** A class of each shape that does not fit. */
  readonly #blocked = new Map<string, RequestClass>();
  /** Shapes of gangs that did not fit once; the room is counted from then on. */
  readonly #gangRooms = new Map<string, GangRoom>();
  /** Shapes that did not fit anywhere before these workers grew. */
  readonly #candidates = new Map<string, Candidates>();

  /** @param lanes - waiting classes, whose shapes are opened and closed */
  public constructor(lanes: readonly ClassLane[]) {
    this.#lanes = lanes;
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
    if (group.isGang && !group.urgent) this.#gangRooms.set(group.shape, { sample: group, fitting });
    this.#close(group);
  }

  /**
   * Opens a shape again.
   *
   * @param shape - the shape
   */
  public retry(shape: string): void {
    this.#candidates.delete(shape);
    this.#reopen(shape);
  }

  /** Opens urgent shapes again. */
  public retryUrgent(): void {
    for (const [shape, { urgent }] of this.#blocked) if (urgent) this.#reopen(shape);
  }

  /** Opens all shapes again. */
  public retryAll(): void {
    this.#candidates.clear();
    for (const shape of [...this.#blocked.keys()]) this.#reopen(shape);
  }

  /**
   * Forgets a shape of which nothing waits.
   *
   * @param shape - the shape
   */
  public forget(shape: string): void {
    this.#blocked.delete(shape);
    this.#candidates.delete(shape);
    this.#gangRooms.delete(shape);
  }

  /**
   * Opens the shapes that fit after a change of a worker.
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

  /** A start takes the room of other shapes, which are blocked here without another search. */
  #reviewCandidates(worker: WorkerRecord, capacity: Capacity): void {
    for (const [shape, { sample, workers }] of this.#candidates) {
      if (this.#canTake(worker, capacity, sample)) workers.add(worker);
      else if (workers.delete(worker) && workers.size === 0) this.#close(sample);
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
    else if (!this.#blocked.has(shape)) this.#close(gang.sample);
  }

  #reopen(shape: string): void {
    if (!this.#blocked.delete(shape)) return;
    for (const lane of this.#lanes) lane.setOpen(shape, true);
  }

  #close(group: RequestClass): void {
    this.#blocked.set(group.shape, group);
    this.#candidates.delete(group.shape);
    for (const lane of this.#lanes) lane.setOpen(group.shape, false);
  }
}
