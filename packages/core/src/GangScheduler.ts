import type { Fleet } from './Fleet.js';
import { CapacityReservation } from './CapacityReservation.js';
import type { Recovery } from './Recovery.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Interval after which a reservation follows the end of other work that came late or early. */
const replanIntervalMs = 5000;
/** Interval between searches for a gang that can reserve. */
const planRetryMs = 100;
/**
 * Reservations go by share, one of this many by age: by share alone, gangs of a large team would starve, and
 * with every second one by age, small teams get too little of a full fleet.
 */
const reservationsPerOldest = 4;
/** Longest time that a gang waits for room before it reserves; a shorter one waits for its run time. */
const maxReservationDelayMs = 60_000;

/** Parts of the shard that decide which gang reserves. */
interface GangSchedulerDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly recovery: Recovery;
}

/** Lets one gang after the other reserve capacity. */
export class GangScheduler {
  readonly #dependencies: GangSchedulerDependencies;
  readonly #reservation: CapacityReservation;
  #plannedAt = -Infinity;
  #nextReservationAt = -Infinity;
  /** Gangs that started in reserved room. */
  #reservedStartCount = 0;

  /** @param parts - parts of the shard */
  public constructor(parts: GangSchedulerDependencies) {
    this.#dependencies = parts;
    this.#reservation = new CapacityReservation(parts.fleet);
  }

  /** The reservation of the gang whose turn it is. */
  public get reservation(): CapacityReservation {
    return this.#reservation;
  }

  /**
   * Starts the gang that reserved capacity once all of it is free.
   *
   * @param now - local monotonic time in milliseconds
   * @param start - starts the gang
   */
  public startReady(
    now: number,
    start: (record: RequestRecord, group: RequestClass) => void,
  ): void {
    const { record, isReady } = this.#reservation;
    if (record === undefined) return;
    const group = this.#dependencies.queue.findClass(record);
    if (group === undefined) this.#reservation.release();
    else if (isReady) {
      // Reserved capacity is idle for a while, so reservations take half of the time at most: other
      // gangs, which may be smaller, fit in between.
      this.#nextReservationAt = 2 * now - this.#reservation.reservedSince;
      this.#reservedStartCount += 1;
      this.#reservation.release();
      this.#dependencies.queue.order.unblockShape(group.shape);
      start(record, group);
    }
  }

  /**
   * Lets the gang whose turn it is reserve capacity.
   *
   * @param now - local monotonic time in milliseconds
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
