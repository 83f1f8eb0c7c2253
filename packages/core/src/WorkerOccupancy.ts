import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import type { Capacity } from './Capacity.js';
import { minResources } from './minResources.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import type { TaskRecord } from './TaskRecord.js';
import { zeroResources } from './zeroResources.js';

/**
 * Fraction of a worker with accelerators that is never reserved, so that work without accelerators may always
 * use it. With a quarter, a quarter of the accelerators stayed idle, because work on them needs all the memory.
 */
const unreservedFraction = 1 / 16;
/** Tasks above this fraction of a worker ignore the accelerator reserve, which might block them forever. */
const largeTaskFraction = 0.25;

/** Use of a worker's capacity by its tasks and reservations. */
export class WorkerOccupancy {
  readonly #tasks = new Map<string, TaskRecord>();
  readonly #readTotalCapacity: () => Resources;
  readonly #onChange: () => void;
  #allocated: Resources = zeroResources;
  #growthMargin: Resources = zeroResources;
  #reserved: Resources = zeroResources;
  #reservePerAccelerator: Resources = zeroResources;
  #freeCapacity: Capacity | undefined;

  /**
   * @param readTotalCapacity - reads the total capacity of the worker
   * @param onChange - called after each change of the free capacity
   */
  public constructor(readTotalCapacity: () => Resources, onChange: () => void) {
    this.#readTotalCapacity = readTotalCapacity;
    this.#onChange = onChange;
  }

  /** Tasks that may occupy the worker. */
  public get tasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()];
  }

  /** Number of tasks that may occupy the worker. */
  public get taskCount(): number {
    return this.#tasks.size;
  }

  /** Sum of the charges of the tasks that may occupy the worker. */
  public get allocated(): Resources {
    return this.#allocated;
  }

  /** Capacity that no task occupies, including reserved capacity. */
  public get unallocated(): Resources {
    return subtractResources(this.#readTotalCapacity(), this.#allocated);
  }

  /** Capacity for new tasks if nothing were reserved, less what running tasks may still grow by. */
  public get available(): Resources {
    return subtractResources(this.unallocated, this.#growthMargin);
  }

  /** Free capacity for new tasks, by kind of work. */
  public get freeCapacity(): Capacity {
    this.#freeCapacity ??= this.#calculateFreeCapacity();
    return this.#freeCapacity;
  }

  /** Whether capacity is reserved for a gang or a task. */
  public get hasReservation(): boolean {
    return this.#reserved !== zeroResources;
  }

  /** Whether processors and memory are reserved beside free accelerators. */
  public get hasAcceleratorReserve(): boolean {
    return (
      this.#readTotalCapacity().accelerators > 0 && this.#reservePerAccelerator !== zeroResources
    );
  }

  /** Discards the calculated free capacity, after a change of the worker's total capacity. */
  public refresh(): void {
    this.#freeCapacity = undefined;
  }

  /**
   * Reserves capacity; it may be more than is free now.
   *
   * @param reserved - amount that other work may not use; `zeroResources` ends the reservation
   */
  public reserve(reserved: Resources): void {
    this.#reserved = reserved;
    this.#notifyChange();
  }

  /**
   * Reserves processors and memory beside each free accelerator, so that other work does not leave the
   * accelerator unusable.
   *
   * @param perAccelerator - amount per free accelerator
   */
  public setAcceleratorReserve(perAccelerator: Resources): void {
    this.#reservePerAccelerator = perAccelerator;
    if (this.#readTotalCapacity().accelerators > 0) this.#notifyChange();
  }

  /**
   * Adds a task that may occupy the worker.
   *
   * @param task - the task
   */
  public add(task: TaskRecord): void {
    this.#tasks.set(task.id, task);
    this.#allocated = addResources(this.#allocated, task.charge);
    this.#notifyChange();
  }

  /**
   * Removes a task that certainly no longer occupies the worker.
   *
   * @param taskId - identifier of the task
   */
  public remove(taskId: string): void {
    if (this.#tasks.delete(taskId)) this.recalculate();
  }

  /** Recalculates the sums over all tasks. */
  public recalculate(): void {
    let sum = zeroResources;
    let margin = zeroResources;
    for (const task of this.#tasks.values()) {
      sum = addResources(sum, task.charge);
      margin = addResources(margin, task.growthMargin);
    }
    this.#allocated = sum;
    this.#growthMargin = margin;
    this.#notifyChange();
  }

  #notifyChange(): void {
    this.refresh();
    this.#onChange();
  }

  /** A fraction of the worker stays unreserved, so that no team waits forever for work of others to end. */
  #calculateFreeCapacity(): Capacity {
    const totalCapacity = this.#readTotalCapacity();
    const free = subtractResources(this.available, this.#reserved);
    if (totalCapacity.accelerators === 0)
      return { free, unreserved: free, largeTaskSize: totalCapacity };
    const largeTaskSize = scaleResources(totalCapacity, largeTaskFraction);
    const maxReserveFraction =
      (1 - unreservedFraction) * (free.accelerators / totalCapacity.accelerators);
    const maxReserve = scaleResources(totalCapacity, maxReserveFraction);
    const reserve = minResources(
      scaleResources(this.#reservePerAccelerator, free.accelerators),
      maxReserve,
    );
    const unreserved = { ...subtractResources(free, reserve), accelerators: free.accelerators };
    return { free, unreserved, largeTaskSize };
  }
}
