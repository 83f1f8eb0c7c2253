import type { Request, Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import type { Capacity } from './Capacity.js';
import { CapacityIndex } from './CapacityIndex.js';
import { coversResources } from './coversResources.js';
import { subtractResources } from './subtractResources.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { WorkerSource } from './WorkerSource.js';
import { zeroResources } from './zeroResources.js';

/** Workers of one type of accelerator and about the same speed, the fullest one first. */
interface WorkerGroup {
  readonly acceleratorType: string | undefined;
  readonly hasAccelerators: boolean;
  readonly speedClass: number;
  readonly index: CapacityIndex<WorkerRecord>;
}

/** What the index holds of one worker. */
interface IndexedWorker extends Capacity {
  readonly group: WorkerGroup | undefined;
  readonly totalCapacity: Resources;
}

/** Workers whose speeds differ by less than this factor count as equally fast. */
const speedClassRatio = 1.25;

const noFreeCapacity: Capacity = {
  free: zeroResources,
  unreserved: zeroResources,
  largeTaskSize: zeroResources,
};

/** Index of the workers of a shard by free capacity, with running totals. */
export class FleetIndex extends WorkerSource {
  readonly #groups = new Map<string, WorkerGroup>();
  /** Groups in the order of preference, fast ones first and slow ones first. */
  #fastFirst: readonly WorkerGroup[] = [];
  #slowFirst: readonly WorkerGroup[] = [];
  readonly #indexed = new Map<WorkerRecord, IndexedWorker>();
  #changed = new Map<WorkerRecord, Capacity>();
  #free = zeroResources;
  #totalCapacity = zeroResources;

  /** Capacity of all workers with a valid lease. */
  public get totalCapacity(): Resources {
    return this.#totalCapacity;
  }

  /** Free capacity of all workers that may take work. */
  public get free(): Resources {
    return this.#free;
  }

  /**
   * Takes the workers whose free capacity changed.
   *
   * @returns the workers, with what they had left at the last call
   */
  public takeChangedWorkers(): ReadonlyMap<WorkerRecord, Capacity> {
    const changed = this.#changed;
    if (changed.size > 0) this.#changed = new Map();
    return changed;
  }

  /**
   * Reads what a worker has left for new tasks.
   *
   * @param worker - the worker
   * @returns the amount; zero if it may not take any
   */
  public readFreeCapacity(worker: WorkerRecord): Capacity {
    return this.#indexed.get(worker) ?? noFreeCapacity;
  }

  /**
   * Brings the index up to date after a change of a worker.
   *
   * @param worker - the worker
   */
  public update(worker: WorkerRecord): void {
    const before = this.#indexed.get(worker);
    const group = worker.isEligible ? this.#findGroup(worker) : undefined;
    const capacity = group === undefined ? noFreeCapacity : worker.freeCapacity;
    const { free, unreserved: open } = capacity;
    const room = worker.isLapsed ? zeroResources : worker.totalCapacity;
    const hasSameFree =
      before !== undefined &&
      this.#isEqual(before.free, free) &&
      this.#isEqual(before.unreserved, open);
    const hasSameRoom = before !== undefined && this.#isEqual(before.totalCapacity, room);
    if (before?.group === group && hasSameFree && hasSameRoom) return;
    this.#indexed.set(worker, { ...capacity, group, totalCapacity: room });
    if (!this.#changed.has(worker)) this.#changed.set(worker, before ?? noFreeCapacity);
    this.#free = subtractResources(addResources(this.#free, free), before?.free ?? zeroResources);
    this.#totalCapacity = subtractResources(
      addResources(this.#totalCapacity, room),
      before?.totalCapacity ?? zeroResources,
    );
    if (before?.group !== group) before?.group?.index.delete(worker);
    group?.index.set(worker, free, calculateDominantShare(free, room));
  }

  /**
   * Removes a worker.
   *
   * @param worker - the worker
   */
  public delete(worker: WorkerRecord): void {
    const before = this.#indexed.get(worker);
    if (before === undefined) return;
    before.group?.index.delete(worker);
    this.#free = subtractResources(this.#free, before.free);
    this.#totalCapacity = subtractResources(this.#totalCapacity, before.totalCapacity);
    this.#indexed.delete(worker);
    if (!this.#changed.has(worker)) this.#changed.set(worker, before);
  }

  /** {@inheritDoc WorkerSource.listFitting} */
  public override *listFitting(
    request: Request,
    prefersFast: boolean,
    prefersFull: boolean,
  ): Generator<WorkerRecord> {
    const { size, acceleratorType } = request;
    for (const group of prefersFast ? this.#fastFirst : this.#slowFirst) {
      const { index } = group;
      if (index.size === 0 || (size.accelerators > 0 && !group.hasAccelerators)) continue;
      if (acceleratorType !== undefined && group.acceleratorType !== acceleratorType) continue;
      const fitting = prefersFull ? index.findAscending(size) : index.findDescending(size);
      for (const worker of fitting) {
        if (coversResources(worker.readFree(request), size)) yield worker;
      }
    }
  }

  #sortGroups(direction: number): readonly WorkerGroup[] {
    return [...this.#groups.values()].sort(
      (left, right) =>
        Number(left.hasAccelerators) - Number(right.hasAccelerators) ||
        direction * (left.speedClass - right.speedClass),
    );
  }

  #isEqual(left: Resources, right: Resources): boolean {
    return (
      left.processors === right.processors &&
      left.memoryMb === right.memoryMb &&
      left.accelerators === right.accelerators
    );
  }

  #findGroup(worker: WorkerRecord): WorkerGroup {
    const { acceleratorType, totalCapacity: room, speed } = worker;
    const speedClass = Math.round(Math.log(speed) / Math.log(speedClassRatio));
    const hasAccelerators = room.accelerators > 0;
    const name = `${acceleratorType ?? ''}|${hasAccelerators}|${speedClass}`;
    const known = this.#groups.get(name);
    if (known !== undefined) return known;
    const index = new CapacityIndex<WorkerRecord>();
    const created = { acceleratorType, hasAccelerators, speedClass, index };
    this.#groups.set(name, created);
    this.#fastFirst = this.#sortGroups(-1);
    this.#slowFirst = this.#sortGroups(1);
    return created;
  }
}
