import type { Request } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { countTasks } from './countTasks.js';
import { coversResources } from './coversResources.js';
import type { Fleet } from './Fleet.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import type { TaskRecord } from './TaskRecord.js';
import { canUseAcceleratorReserve } from './canUseAcceleratorReserve.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** Room for some tasks on one worker from a time on. */
interface SlotForecast {
  readonly worker: WorkerRecord;
  readonly count: number;
  readonly freeAt: number;
}

/** Workers compared at least; more only if these have too little room. */
const minComparedWorkers = 256;
/** Declared run times are often wrong; work that may be late by this factor is lent no capacity. */
const overrunFactor = 2;
/** Time after which a gang lends nothing any more, so that late borrowers cannot delay it for ever. */
const maxBackfillMs = 120_000;

/**
 * Capacity that is kept for one gang. The gang takes the workers that are expected to have room first;
 * nothing else starts in the reserved capacity, so small tasks cannot delay the gang. One gang per shard
 * reserves at a time, so two gangs never wait for each other.
 */
export class CapacityReservation {
  readonly #fleet: Fleet;
  readonly #countByWorker = new Map<WorkerRecord, number>();
  #record: RequestRecord | undefined;
  #expectedStartAt = 0;
  #reservedSince = 0;

  /** @param fleet - workers of the shard */
  public constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Gang that reserves capacity, if there is one. */
  public get record(): RequestRecord | undefined {
    return this.#record;
  }

  /** Whether all reserved capacity is free. */
  public get isReady(): boolean {
    const request = this.#record?.request;
    if (request === undefined) return false;
    for (const [worker, count] of this.#countByWorker) {
      const needed = scaleResources(request.size, count);
      if (!worker.canHost(request) || !coversResources(worker.available, needed)) return false;
    }
    return true;
  }

  /** Whether a worker of the plan can take no new tasks any more. */
  public get hasIneligibleWorker(): boolean {
    for (const worker of this.#countByWorker.keys()) if (!worker.isEligible) return true;
    return false;
  }

  /** Local monotonic time since which the gang reserves, in milliseconds. */
  public get reservedSince(): number {
    return this.#reservedSince;
  }

  /** Workers of the plan. */
  public get workers(): readonly WorkerRecord[] {
    return [...this.#countByWorker.keys()];
  }

  /**
   * Calculates how long work may be declared to run that borrows reserved capacity. It ends before the
   * gang is expected to start, also when it runs twice as long.
   *
   * @param now - local monotonic time in milliseconds
   * @returns milliseconds; zero if nothing is lent
   */
  public calculateBackfillMs(now: number): number {
    if (this.#record === undefined || now - this.#reservedSince > maxBackfillMs) return 0;
    return Math.max(0, this.#expectedStartAt - now) / overrunFactor;
  }

  /**
   * Lends the reserved capacity of a worker while work is placed.
   *
   * @param worker - a worker of the plan
   * @param place - the placement
   * @returns its result
   */
  public placeBackfill<Result>(worker: WorkerRecord, place: () => Result): Result {
    worker.occupancy.reserve(zeroResources);
    const result = place();
    const size = this.#record?.request.size ?? zeroResources;
    worker.occupancy.reserve(scaleResources(size, this.#countByWorker.get(worker) ?? 0));
    return result;
  }

  /**
   * Reserves capacity for a gang, in place of an earlier reservation.
   *
   * @param record - the gang
   * @param now - local monotonic time in milliseconds
   * @param tasks - number of tasks to reserve for
   * @returns false if the gang cannot fit even when all work that ends has ended
   */
  public reserve(record: RequestRecord, now: number, tasks = record.request.tasks): boolean {
    const isKept = this.#record === record;
    this.release();
    const { request } = record;
    // Tasks without accelerators would otherwise take the room beside them, one reservation after the other.
    const isPlanned =
      this.#planTasks(request, tasks, now, canUseAcceleratorReserve(request)) ||
      (!canUseAcceleratorReserve(request) && this.#planTasks(request, tasks, now, true));
    if (!isPlanned) return false;
    this.#record = record;
    if (!isKept) this.#reservedSince = now;
    for (const [worker, count] of this.#countByWorker) {
      worker.occupancy.reserve(scaleResources(request.size, count));
    }
    return true;
  }

  /** Gives the reserved capacity back. */
  public release(): void {
    for (const worker of this.#countByWorker.keys()) worker.occupancy.reserve(zeroResources);
    this.#countByWorker.clear();
    this.#record = undefined;
  }

  /** Plans for the workers that have room first; without room for all tasks nothing is planned. */
  #planTasks(request: Request, tasks: number, now: number, takesKept: boolean): boolean {
    let missing = tasks;
    const slots = this.#listSlots(request, now, takesKept);
    slots.sort((left, right) => left.freeAt - right.freeAt);
    for (const { worker, count, freeAt } of slots) {
      if (missing === 0) break;
      this.#expectedStartAt = freeAt;
      const taken = Math.min(count, missing);
      this.#countByWorker.set(worker, (this.#countByWorker.get(worker) ?? 0) + taken);
      missing -= taken;
    }
    if (missing > 0) this.#countByWorker.clear();
    return missing === 0;
  }

  #listSlots(request: Request, now: number, takesKept: boolean): SlotForecast[] {
    const slots: SlotForecast[] = [];
    let compared = 0;
    let found = 0;
    for (const worker of this.#fleet.workers) {
      if (!worker.canHost(request) || worker.occupancy.hasReservation) continue;
      if (worker.occupancy.hasAcceleratorReserve && !takesKept) continue;
      if (!worker.isSuitable(request.size, request.acceleratorType)) continue;
      if (compared >= minComparedWorkers && found >= 2 * request.tasks) break;
      compared += 1;
      for (const slot of this.#forecastSlots(worker, request, now)) {
        slots.push(slot);
        found += slot.count;
      }
    }
    return slots;
  }

  /** Services do not end, so the capacity they use is never expected to become free. */
  #forecastSlots(worker: WorkerRecord, { size }: Request, now: number): readonly SlotForecast[] {
    let free = worker.available;
    let known = countTasks(free, size);
    const slots: SlotForecast[] = known > 0 ? [{ worker, count: known, freeAt: now }] : [];
    const ending = worker.tasks
      .filter((task) => task.assignment.request.kind !== 'service')
      .map((task) => ({ task, endsAt: this.#forecastEnd(task, worker, now) }))
      .sort((left, right) => left.endsAt - right.endsAt);
    for (const { task, endsAt } of ending) {
      free = addResources(free, task.charge);
      const count = countTasks(free, size);
      if (count > known) slots.push({ worker, count: count - known, freeAt: endsAt });
      known = Math.max(known, count);
    }
    return slots;
  }

  /** A task that runs longer than declared is expected to go on for as long as it is late. */
  #forecastEnd(task: TaskRecord, worker: WorkerRecord, now: number): number {
    const endsAt = task.placedAt + task.assignment.request.runTimeMs / worker.speed;
    return endsAt > now ? endsAt : now + (now - endsAt);
  }
}
