import type { Fleet } from './Fleet.js';
import { CapacityReservation } from './CapacityReservation.js';
import type { Recovery } from './Recovery.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitingQueue } from './WaitingQueue.js';

/**
 * Interval between updates of a reservation, for work that ended earlier or later than declared.
 */
const replanIntervalMs = 5000;
/** Interval between searches for a gang that can reserve capacity. */
const planRetryMs = 100;
/**
 * One of this many reservations goes to the oldest gang, the others by the share of the team. By
 * share alone, gangs of a large team would starve; with every second reservation by age, small
 * teams get too little of a full fleet.
 */
const reservationsPerOldest = 4;
/**
 * Longest time that a gang waits for capacity before it may reserve; a gang with a shorter run time
 * waits for its run time.
 */
const maxReservationDelayMs = 60_000;

/** Components of the shard that the gang scheduler reads and changes. */
interface GangSchedulerDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly recovery: Recovery;
}

/**
 * Chooses the gang that may reserve capacity, one at a time, and starts it once all of the reserved
 * capacity is free.
 */
export class GangScheduler {
  readonly #dependencies: GangSchedulerDependencies;
  readonly #reservation: CapacityReservation;
  #plannedAt = -Infinity;
  #nextReservationAt = -Infinity;
  /** Number of gangs that started in reserved capacity. */
  #reservedStartCount = 0;

  /** @param dependencies - components that the gang scheduler reads and changes */
  public constructor(dependencies: GangSchedulerDependencies) {
    this.#dependencies = dependencies;
    this.#reservation = new CapacityReservation(dependencies.fleet);
  }

  /** Reservation of the gang that may reserve at present. */
  public get reservation(): CapacityReservation {
    return this.#reservation;
  }

  /**
   * Starts the gang that has the reservation once all of the reserved capacity is free.
   *
   * @param now - monotonic time in milliseconds
   * @param start - starts the gang
   */
  public startReady(
    now: number,
    start: (record: RequestRecord, requestClass: RequestClass) => void,
  ): void {
    const { record, isReady } = this.#reservation;
    if (record === undefined) return;
    const requestClass = this.#dependencies.queue.findClass(record);
    if (requestClass === undefined) this.#reservation.release();
    else if (isReady) {
      // Reserved capacity is idle for a while, so reservations may be active for at most half of
      // the time. In between, other gangs can start, which may be smaller.
      this.#nextReservationAt = 2 * now - this.#reservation.reservedSince;
      this.#reservedStartCount += 1;
      this.#reservation.release();
      this.#dependencies.queue.order.unblockShape(requestClass.shape);
      start(record, requestClass);
    }
  }

  /**
   * Updates the reservation, or reserves capacity for the next gang.
   *
   * @param now - monotonic time in milliseconds
   */
  public plan(now: number): void {
    const { queue, ledger, recovery } = this.#dependencies;
    const isActive =
      this.#reservation.record !== undefined && !this.#reservation.hasIneligibleWorker;
    if (!recovery.isComplete || now - this.#plannedAt < (isActive ? replanIntervalMs : planRetryMs))
      return;
    const gangs = queue.order.search.listBlockedGangs();
    if (gangs.length === 0 && !isActive) return;
    this.#plannedAt = now;
    const isOldestFirst =
      this.#reservedStartCount % reservationsPerOldest === reservationsPerOldest - 1;
    for (const { first } of isOldestFirst ? gangs : queue.order.search.sortByRank(gangs)) {
      if (first === undefined) continue;
      const { team, size, tasks, runTimeMs } = first.request;
      if (now - first.arrivedAt < Math.min(runTimeMs, maxReservationDelayMs)) continue;
      if (now < this.#nextReservationAt && first !== this.#reservation.record) continue;
      if (!ledger.canCharge(team, scaleResources(size, tasks))) continue;
      if (this.#reservation.reserve(first, now)) return;
    }
    this.#reservation.release();
  }
}
