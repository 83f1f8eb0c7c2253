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

/** Number of tasks that fit on one worker from a time on. */
interface SlotForecast {
  readonly worker: WorkerRecord;
  readonly count: number;
  readonly freeAt: number;
}

/** Minimum number of workers to compare; more are compared only if these have too few slots. */
const minComparedWorkers = 256;
/**
 * Factor by which the run time of backfilled work may exceed its declaration without a delay of the
 * reservation, because declared run times are often wrong.
 */
const overrunFactor = 2;
/**
 * Time after which a reservation is closed to backfill, so that backfilled work that runs too long
 * cannot delay it for ever.
 */
const maxBackfillMs = 120_000;

/**
 * Capacity that is reserved for the tasks of one request, on the workers that are expected to have
 * enough free capacity first. Nothing else starts in the reserved capacity, so small tasks cannot
 * delay a gang. Only one gang per shard has a reservation at a time, so that two gangs never wait
 * for each other.
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

  /** Request that has reserved capacity; undefined if there is none. */
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

  /** Whether a reserved worker can no longer take new tasks. */
  public get hasIneligibleWorker(): boolean {
    for (const worker of this.#countByWorker.keys()) if (!worker.isEligible) return true;
    return false;
  }

  /** Monotonic time of the first reservation for the current request, in milliseconds. */
  public get reservedSince(): number {
    return this.#reservedSince;
  }

  /** Workers with reserved capacity. */
  public get workers(): readonly WorkerRecord[] {
    return [...this.#countByWorker.keys()];
  }

  /**
   * Calculates the longest declared run time of work that may backfill the reserved capacity. Such
   * work ends before the reservation is expected to be used, even if it runs twice as long as
   * declared.
   *
   * @param now - monotonic time in milliseconds
   * @returns run time in milliseconds; zero if backfill is not allowed
   */
  public calculateBackfillMs(now: number): number {
    if (this.#record === undefined || now - this.#reservedSince > maxBackfillMs) return 0;
    return Math.max(0, this.#expectedStartAt - now) / overrunFactor;
  }

  /**
   * Frees the reserved capacity of a worker while backfill work is placed on it.
   *
   * @param worker - a worker with reserved capacity
   * @param place - places the work
   * @returns the result of the placement
   */
  public placeBackfill<Result>(worker: WorkerRecord, place: () => Result): Result {
    worker.occupancy.reserve(zeroResources);
    const result = place();
    const size = this.#record?.request.size ?? zeroResources;
    worker.occupancy.reserve(scaleResources(size, this.#countByWorker.get(worker) ?? 0));
    return result;
  }

  /**
   * Reserves capacity for the tasks of a request and releases the previous reservation.
   *
   * @param record - the request
   * @param now - monotonic time in milliseconds
   * @param tasks - number of tasks to reserve capacity for
   * @returns false if the tasks do not fit even after all work other than services has ended
   */
  public reserve(record: RequestRecord, now: number, tasks = record.request.tasks): boolean {
    const isRenewal = this.#record === record;
    this.release();
    const { request } = record;
    // Workers with an accelerator reserve are used only if the others are not enough. Otherwise
    // tasks without accelerators would use up the accelerator reserve, one reservation after the
    // other.
    const isPlanned =
      this.#planTasks(request, tasks, now, canUseAcceleratorReserve(request)) ||
      (!canUseAcceleratorReserve(request) && this.#planTasks(request, tasks, now, true));
    if (!isPlanned) return false;
    this.#record = record;
    if (!isRenewal) this.#reservedSince = now;
    for (const [worker, count] of this.#countByWorker) {
      worker.occupancy.reserve(scaleResources(request.size, count));
    }
    return true;
  }

  /** Releases the reserved capacity. */
  public release(): void {
    for (const worker of this.#countByWorker.keys()) worker.occupancy.reserve(zeroResources);
    this.#countByWorker.clear();
    this.#record = undefined;
  }

  /**
   * Plans the tasks on the workers whose slots become free first. Plans nothing if not all tasks
   * fit.
   */
  #planTasks(request: Request, tasks: number, now: number, canUseReserve: boolean): boolean {
    let missingCount = tasks;
    const slots = this.#listSlots(request, now, canUseReserve);
    slots.sort((left, right) => left.freeAt - right.freeAt);
    for (const { worker, count, freeAt } of slots) {
      if (missingCount === 0) break;
      this.#expectedStartAt = freeAt;
      const taken = Math.min(count, missingCount);
      this.#countByWorker.set(worker, (this.#countByWorker.get(worker) ?? 0) + taken);
      missingCount -= taken;
    }
    if (missingCount > 0) this.#countByWorker.clear();
    return missingCount === 0;
  }

  #listSlots(request: Request, now: number, canUseReserve: boolean): SlotForecast[] {
    const slots: SlotForecast[] = [];
    let comparedCount = 0;
    let foundCount = 0;
    for (const worker of this.#fleet.workers) {
      if (!worker.canHost(request) || worker.occupancy.hasReservation) continue;
      if (worker.occupancy.hasAcceleratorReserve && !canUseReserve) continue;
      if (!worker.isSuitable(request.size, request.acceleratorType)) continue;
      if (comparedCount >= minComparedWorkers && foundCount >= 2 * request.tasks) break;
      comparedCount += 1;
      for (const slot of this.#forecastSlots(worker, request, now)) {
        slots.push(slot);
        foundCount += slot.count;
      }
    }
    return slots;
  }

  /**
   * Forecasts when tasks fit on a worker. Services do not end, so the capacity they use is never
   * expected to become free.
   */
  #forecastSlots(worker: WorkerRecord, { size }: Request, now: number): readonly SlotForecast[] {
    let free = worker.available;
    let knownCount = countTasks(free, size);
    const slots: SlotForecast[] =
      knownCount > 0 ? [{ worker, count: knownCount, freeAt: now }] : [];
    const endingTasks = worker.tasks
      .filter((task) => task.assignment.request.kind !== 'service')
      .map((task) => ({ task, endsAt: this.#forecastEnd(task, worker, now) }))
      .sort((left, right) => left.endsAt - right.endsAt);
    for (const { task, endsAt } of endingTasks) {
      free = addResources(free, task.charge);
      const count = countTasks(free, size);
      if (count > knownCount) slots.push({ worker, count: count - knownCount, freeAt: endsAt });
      knownCount = Math.max(knownCount, count);
    }
    return slots;
  }

  /**
   * Forecasts the end of a task, as monotonic time in milliseconds. A task that runs longer than
   * declared is expected to continue for as long as it is overdue.
   */
  #forecastEnd(task: TaskRecord, worker: WorkerRecord, now: number): number {
    const endsAt = task.placedAt + task.assignment.request.runTimeMs / worker.speed;
    return endsAt > now ? endsAt : now + (now - endsAt);
  }
}
