import type { Fleet } from './Fleet.js';
import { GangReservation } from './GangReservation.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import type { WaitingSearch } from './WaitingSearch.js';

/** Interval between searches for a task that can reserve; it bounds their cost. */
const planMs = 100;
/** Interval after which a reservation follows the end of other work that came late or early. */
const replanMs = 5000;
/** Longest time that a task waits for room before it reserves; a shorter one waits for its run time. */
const maxPatienceMs = 60_000;
/** One of this many workers may be reserved, of those that keep no room beside accelerators. */
const workersPerReservation = 8;
const maxReservations = 16;

/** A reservation for one task of a request. */
interface Reserved {
  readonly reservation: GangReservation;
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
  readonly #reserved = new Map<RequestRecord, Reserved>();
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
  public get list(): readonly GangReservation[] {
    return [...this.#reserved.values()].map(({ reservation }) => reservation);
  }

  /**
   * Releases the reservations whose capacity is free, and those that are of no use any more.
   *
   * @param isWaiting - whether a request still waits
   * @param start - starts a request on the workers that were reserved for it
   */
  public serve(
    isWaiting: (record: RequestRecord) => boolean,
    start: (record: RequestRecord, reservation: GangReservation) => void,
  ): void {
    for (const [record, { reservation }] of this.#reserved) {
      const isReady = reservation.isReady && isWaiting(record);
      if (!isReady && isWaiting(record)) continue;
      this.#reserved.delete(record);
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
    if (now - this.#searchedAt < planMs) return;
    this.#searchedAt = now;
    for (const [record, { reservation, plannedAt }] of this.#reserved) {
      if (now - plannedAt < replanMs && !reservation.isBroken) continue;
      this.#reserve(record, reservation, now);
      return;
    }
    const usable = this.#fleet.workers.filter(({ occupancy }) => !occupancy.isKeeping).length;
    const part = Math.round(usable / workersPerReservation);
    if (this.#reserved.size >= Math.min(maxReservations, Math.max(1, part))) return;
    const group = this.#search.findBlocked(
      (other) => this.#mayReserve(other, now) && canCharge(other),
    );
    if (group?.first !== undefined) {
      this.#reserve(group.first, new GangReservation(this.#fleet), now);
    }
  }

  #mayReserve({ first }: RequestClass, now: number): boolean {
    if (first === undefined || this.#reserved.has(first)) return false;
    return now - first.arrivedAt >= Math.min(first.request.runTimeMs, maxPatienceMs);
  }

  #reserve(record: RequestRecord, reservation: GangReservation, now: number): void {
    if (reservation.reserve(record, now, 1)) {
      this.#reserved.set(record, { reservation, plannedAt: now });
    } else this.#reserved.delete(record);
  }
}
