import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import type { Capacity } from './Capacity.js';
import { minResources } from './minResources.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import type { TaskRecord } from './TaskRecord.js';
import { zeroResources } from './zeroResources.js';

/**
 * Part of a worker with accelerators that work without accelerators may always use. A quarter of the memory
 * left a quarter of the accelerators idle, because their work needs all of it.
 */
const unreservedFraction = 1 / 16;
/** Tasks above this part of a worker do not wait for what is kept: it might leave them no room for ever. */
const largeTaskFraction = 0.25;

/** What the tasks and reservations of a worker take of its capacity. */
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
   * @param readRoom - reads the capacity of the worker
   * @param onChange - called after each change of what is left
   */
  public constructor(readRoom: () => Resources, onChange: () => void) {
    this.#readTotalCapacity = readRoom;
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

  /** Capacity that no task occupies, reserved capacity included. */
  public get unallocated(): Resources {
    return subtractResources(this.#readTotalCapacity(), this.#allocated);
  }

  /** What is left for tasks if nothing is reserved or kept; running tasks may still grow into the rest. */
  public get available(): Resources {
    return subtractResources(this.unallocated, this.#growthMargin);
  }

  /** Capacity that is left for new tasks of each kind. */
  public get freeCapacity(): Capacity {
    this.#freeCapacity ??= this.#calculateFreeCapacity();
    return this.#freeCapacity;
  }

  /** Whether capacity is kept for a reservation. */
  public get hasReservation(): boolean {
    return this.#reserved !== zeroResources;
  }

  /** Whether processors and memory are kept beside free accelerators. */
  public get hasAcceleratorReserve(): boolean {
    return (
      this.#readTotalCapacity().accelerators > 0 && this.#reservePerAccelerator !== zeroResources
    );
  }

  /** Measures anew what is left, after a change of the worker's own capacity. */
  public refresh(): void {
    this.#freeCapacity = undefined;
  }

  /**
   * Keeps capacity for a gang; it may be more than is free now.
   *
   * @param held - amount that other work may not take
   */
  public reserve(held: Resources): void {
    this.#reserved = held;
    this.#notifyChange();
  }

  /**
   * Keeps processors and memory beside each free accelerator, so that other work does not strand it.
   *
   * @param kept - amount per free accelerator
   */
  public setAcceleratorReserve(kept: Resources): void {
    this.#reservePerAccelerator = kept;
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
   * Removes a task that certainly does not occupy the worker any more.
   *
   * @param taskId - identifier of the task
   */
  public remove(taskId: string): void {
    if (this.#tasks.delete(taskId)) this.recalculate();
  }

  /** Sums the charges of all tasks again. */
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

  /** A part of the worker is open to all work, so that no team waits for ever for others to end. */
  #calculateFreeCapacity(): Capacity {
    const room = this.#readTotalCapacity();
    const free = subtractResources(this.available, this.#reserved);
    if (room.accelerators === 0) return { free, unreserved: free, largeTaskSize: room };
    const largest = scaleResources(room, largeTaskFraction);
    const mostPart = (1 - unreservedFraction) * (free.accelerators / room.accelerators);
    const most = scaleResources(room, mostPart);
    const kept = minResources(scaleResources(this.#reservePerAccelerator, free.accelerators), most);
    const open = { ...subtractResources(free, kept), accelerators: free.accelerators };
    return { free, unreserved: open, largeTaskSize: largest };
  }
}
