import type { CapacityReservation } from './CapacityReservation.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import type { WaitingSearch } from './WaitingSearch.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Interval between searches for work that ends before a reservation is expected to be used. */
const backfillIntervalMs = 250;

/**
 * Starts a request on a worker.
 *
 * @param record - the request
 * @param requestClass - its class
 * @param worker - the worker
 * @returns false if the limit of the team does not admit the request
 */
type RequestStarter = (
  record: RequestRecord,
  requestClass: RequestClass,
  worker: WorkerRecord,
) => boolean;

/**
 * Backfills reserved capacity that is idle with short work that ends before the reservation is
 * expected to be used.
 */
export class BackfillScheduler {
  readonly #search: WaitingSearch;
  #backfilledAt = -Infinity;

  /** @param search - finds waiting classes */
  public constructor(search: WaitingSearch) {
    this.#search = search;
  }

  /**
   * Starts work that ends before the reservations are expected to be used.
   *
   * @param now - monotonic time in milliseconds
   * @param reservations - reservations whose capacity may be used
   * @param start - starts a request
   */
  public run(
    now: number,
    reservations: readonly CapacityReservation[],
    start: RequestStarter,
  ): void {
    if (now - this.#backfilledAt < backfillIntervalMs) return;
    this.#backfilledAt = now;
    for (const reservation of reservations) {
      const maxRunMs = reservation.calculateBackfillMs(now);
      if (maxRunMs === 0) continue;
      for (const worker of reservation.workers) {
        if (worker.isEligible) this.#fill(worker, reservation, maxRunMs, start);
      }
    }
  }

  #fill(
    worker: WorkerRecord,
    reservation: CapacityReservation,
    maxRunMs: number,
    start: RequestStarter,
  ): void {
    for (let hasStarted = true; hasStarted;) {
      const requestClass = this.#search.findBackfill(worker, worker.available, maxRunMs);
      const record = requestClass?.first;
      hasStarted =
        requestClass !== undefined &&
        record !== undefined &&
        reservation.placeBackfill(worker, () => start(record, requestClass, worker));
    }
  }
}
