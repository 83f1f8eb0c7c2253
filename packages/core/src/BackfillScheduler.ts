import type { CapacityReservation } from './CapacityReservation.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import type { WaitingSearch } from './WaitingSearch.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Interval between searches for work that ends before a reservation is due. */
const backfillIntervalMs = 250;

/**
 * Starts a request on a worker.
 *
 * @param record - the request
 * @param group - its class
 * @param worker - the worker
 * @returns false if the limit of the team does not admit it
 */
type RequestStarter = (record: RequestRecord, group: RequestClass, worker: WorkerRecord) => boolean;

/** Lends reserved capacity that is idle to short work until the reservation can be used. */
export class BackfillScheduler {
  readonly #search: WaitingSearch;
  #backfilledAt = -Infinity;

  /** @param search - finds waiting work */
  public constructor(search: WaitingSearch) {
    this.#search = search;
  }

  /**
   * Starts work that ends before the reservations are due.
   *
   * @param now - local monotonic time in milliseconds
   * @param reservations - the reservations
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
    for (let isOpen = true; isOpen;) {
      const group = this.#search.findBackfill(worker, worker.available, maxRunMs);
      const record = group?.first;
      isOpen =
        group !== undefined &&
        record !== undefined &&
        reservation.placeBackfill(worker, () => start(record, group, worker));
    }
  }
}
