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

/** Workers with the same type of accelerator and about the same speed, indexed by free capacity. */
interface WorkerGroup {
  readonly acceleratorType: string | undefined;
  readonly hasAccelerators: boolean;
  readonly speedClass: number;
  readonly index: CapacityIndex<WorkerRecord>;
}

/** Indexed state of one worker. */
interface IndexedWorker extends Capacity {
  readonly group: WorkerGroup | undefined;
  readonly totalCapacity: Resources;
}

/** Ratio between neighbouring speed classes; workers of one class count as equally fast. */
const speedClassRatio = 1.25;

const noFreeCapacity: Capacity = {
  free: zeroResources,
  unreserved: zeroResources,
  largeTaskSize: zeroResources,
};

/** Index of the workers of a shard by free capacity, with running totals. */
export class FleetIndex extends WorkerSource {
  readonly #groups = new Map<string, WorkerGroup>();
  /** Groups in order of preference: without accelerators first, then by speed, descending or ascending. */
  #fastFirst: readonly WorkerGroup[] = [];
  #slowFirst: readonly WorkerGroup[] = [];
  readonly #indexed = new Map<WorkerRecord, IndexedWorker>();
  #changed = new Map<WorkerRecord, Capacity>();
  #free = zeroResources;
  #totalCapacity = zeroResources;

  /** Total capacity of all workers with a valid lease. */
  public get totalCapacity(): Resources {
    return this.#totalCapacity;
  }

  /** Free capacity of all workers that may take work. */
  public get free(): Resources {
    return this.#free;
  }

  /**
   * Takes the workers whose free capacity has changed since the last call.
   *
   * @returns the workers, with their free capacity at the last call
   */
  public takeChangedWorkers(): ReadonlyMap<WorkerRecord, Capacity> {
    const changed = this.#changed;
    if (changed.size > 0) this.#changed = new Map();
    return changed;
  }

  /**
   * Reads the free capacity of a worker.
   *
   * @param worker - the worker
   * @returns the free capacity; zero if the worker may not take new tasks
   */
  public readFreeCapacity(worker: WorkerRecord): Capacity {
    return this.#indexed.get(worker) ?? noFreeCapacity;
  }

  /**
   * Updates the index after a change of a worker.
   *
   * @param worker - the worker
   */
  public update(worker: WorkerRecord): void {
    const before = this.#indexed.get(worker);
    const group = worker.isEligible ? this.#findGroup(worker) : undefined;
    const freeCapacity = group === undefined ? noFreeCapacity : worker.freeCapacity;
    const { free, unreserved } = freeCapacity;
    const totalCapacity = worker.isLeaseExpired ? zeroResources : worker.totalCapacity;
    const hasSameFree =
      before !== undefined &&
      this.#isEqual(before.free, free) &&
      this.#isEqual(before.unreserved, unreserved);
    const hasSameTotal = before !== undefined && this.#isEqual(before.totalCapacity, totalCapacity);
    if (before?.group === group && hasSameFree && hasSameTotal) return;
    this.#indexed.set(worker, { ...freeCapacity, group, totalCapacity });
    if (!this.#changed.has(worker)) this.#changed.set(worker, before ?? noFreeCapacity);
    this.#free = subtractResources(addResources(this.#free, free), before?.free ?? zeroResources);
    this.#totalCapacity = subtractResources(
      addResources(this.#totalCapacity, totalCapacity),
      before?.totalCapacity ?? zeroResources,
    );
    if (before?.group !== group) before?.group?.index.delete(worker);
    group?.index.set(worker, free, calculateDominantShare(free, totalCapacity));
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
    const { acceleratorType, totalCapacity, speed } = worker;
    const speedClass = Math.round(Math.log(speed) / Math.log(speedClassRatio));
    const hasAccelerators = totalCapacity.accelerators > 0;
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
