import type { Fleet } from './Fleet.js';
import { CapacityReservation } from './CapacityReservation.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import type { WaitingSearch } from './WaitingSearch.js';

/**
 * Interval between searches for a task that can reserve capacity; it bounds the cost of the
 * searches.
 */
const planIntervalMs = 100;
/**
 * Interval between updates of a reservation, for work that ended earlier or later than declared.
 */
const replanIntervalMs = 5000;
/**
 * Longest time that a task waits for capacity before it may reserve; a task with a shorter run time
 * waits for its run time.
 */
const maxReservationDelayMs = 60_000;
/** One of this many workers may be reserved, among those without an accelerator reserve. */
const workersPerReservation = 8;
const maxReservations = 16;

/** A reservation for one task of a request. */
interface ReservationEntry {
  readonly reservation: CapacityReservation;
  readonly plannedAt: number;
}

/**
 * Reservations for single tasks of teams that are below their share. Otherwise smaller tasks of
 * teams above their share would use free capacity before it is enough for a large task. Each
 * reservation is for one worker, so reservations never wait for each other.
 */
export class TaskReservations {
  readonly #fleet: Fleet;
  readonly #search: WaitingSearch;
  readonly #entries = new Map<RequestRecord, ReservationEntry>();
  #searchedAt = -Infinity;

  /**
   * @param fleet - workers of the shard
   * @param search - finds waiting classes
   */
  public constructor(fleet: Fleet, search: WaitingSearch) {
    this.#fleet = fleet;
    this.#search = search;
  }

  /** Reservations that have not been used yet. */
  public get reservations(): readonly CapacityReservation[] {
    return [...this.#entries.values()].map(({ reservation }) => reservation);
  }

  /**
   * Starts the requests whose reserved capacity is free, and releases the reservations of requests
   * that no longer wait.
   *
   * @param isWaiting - checks whether a request still waits
   * @param start - starts a request on its reserved workers and releases the reservation
   */
  public startReady(
    isWaiting: (record: RequestRecord) => boolean,
    start: (record: RequestRecord, reservation: CapacityReservation) => void,
  ): void {
    for (const [record, { reservation }] of this.#entries) {
      const isReady = reservation.isReady && isWaiting(record);
      if (!isReady && isWaiting(record)) continue;
      this.#entries.delete(record);
      if (isReady) start(record, reservation);
      else reservation.release();
    }
  }

  /**
   * Updates a reservation that is due, or reserves capacity for a task of the team that is furthest
   * below its share.
   *
   * @param now - monotonic time in milliseconds
   * @param canCharge - checks whether the limit of the team admits a task of the class
   */
  public plan(now: number, canCharge: (requestClass: RequestClass) => boolean): void {
    if (now - this.#searchedAt < planIntervalMs) return;
    this.#searchedAt = now;
    for (const [record, { reservation, plannedAt }] of this.#entries) {
      if (now - plannedAt < replanIntervalMs && !reservation.hasIneligibleWorker) continue;
      this.#reserve(record, reservation, now);
      return;
    }
    const reservableCount = this.#fleet.workers.filter(
      ({ occupancy }) => !occupancy.hasAcceleratorReserve,
    ).length;
    const maxByFleet = Math.round(reservableCount / workersPerReservation);
    if (this.#entries.size >= Math.min(maxReservations, Math.max(1, maxByFleet))) return;
    const requestClass = this.#search.findBlocked(
      (other) => this.#canReserve(other, now) && canCharge(other),
    );
    if (requestClass?.first !== undefined) {
      this.#reserve(requestClass.first, new CapacityReservation(this.#fleet), now);
    }
  }

  #canReserve({ first }: RequestClass, now: number): boolean {
    if (first === undefined || this.#entries.has(first)) return false;
    return now - first.arrivedAt >= Math.min(first.request.runTimeMs, maxReservationDelayMs);
  }

  #reserve(record: RequestRecord, reservation: CapacityReservation, now: number): void {
    if (reservation.reserve(record, now, 1)) {
      this.#entries.set(record, { reservation, plannedAt: now });
    } else this.#entries.delete(record);
  }
}
