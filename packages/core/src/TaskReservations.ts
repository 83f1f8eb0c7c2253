import type { Fleet } from './Fleet.js';
import { CapacityReservation } from './CapacityReservation.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import type { WaitingSearch } from './WaitingSearch.js';

/** Interval between searches for a task that can reserve; it bounds their cost. */
const planIntervalMs = 100;
/** Interval after which a reservation follows the end of other work that came late or early. */
const replanIntervalMs = 5000;
/** Longest time that a task waits for room before it reserves; a shorter one waits for its run time. */
const maxReservationDelayMs = 60_000;
/** One of this many workers may be reserved, of those that keep no room beside accelerators. */
const workersPerReservation = 8;
const maxReservations = 16;

/** A reservation for one task of a request. */
interface ReservationEntry {
  readonly reservation: CapacityReservation;
  readonly plannedAt: number;
}

/**
 * Room for single tasks of teams that are below their share. Smaller tasks of teams above their share
 * would otherwise take each gap before it is large enough. Each reservation is for one worker, so
 * reservations never wait for each other.
 */
export class TaskReservations {
  readonly #fleet: Fleet;
  readonly #search: WaitingSearch;
  readonly #entries = new Map<RequestRecord, ReservationEntry>();
  #searchedAt = -Infinity;

  /**
   * @param fleet - workers of the shard
   * @param search - finds waiting work
   */
  public constructor(fleet: Fleet, search: WaitingSearch) {
    this.#fleet = fleet;
    this.#search = search;
  }

  /** Reservations that are not used yet. */
  public get reservations(): readonly CapacityReservation[] {
    return [...this.#entries.values()].map(({ reservation }) => reservation);
  }

  /**
   * Releases the reservations whose capacity is free, and those that are of no use any more.
   *
   * @param isWaiting - whether a request still waits
   * @param start - starts a request on the workers that were reserved for it
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
   * Reserves room for a task of the team that is furthest below its share.
   *
   * @param now - local monotonic time in milliseconds
   * @param canCharge - whether the limit of the team admits a task of the class
   */
  public plan(now: number, canCharge: (group: RequestClass) => boolean): void {
    if (now - this.#searchedAt < planIntervalMs) return;
    this.#searchedAt = now;
    for (const [record, { reservation, plannedAt }] of this.#entries) {
      if (now - plannedAt < replanIntervalMs && !reservation.hasIneligibleWorker) continue;
      this.#reserve(record, reservation, now);
      return;
    }
    const usable = this.#fleet.workers.filter(
      ({ occupancy }) => !occupancy.hasAcceleratorReserve,
    ).length;
    const part = Math.round(usable / workersPerReservation);
    if (this.#entries.size >= Math.min(maxReservations, Math.max(1, part))) return;
    const group = this.#search.findBlocked(
      (other) => this.#canReserve(other, now) && canCharge(other),
    );
    if (group?.first !== undefined) {
      this.#reserve(group.first, new CapacityReservation(this.#fleet), now);
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
