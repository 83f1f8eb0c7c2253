import type { Resources } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { maxResources } from './maxResources.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import type { WaitingSearch } from './WaitingSearch.js';
import { zeroResources } from './zeroResources.js';

/** Interval between updates of the reserve from the waiting work. */
const reviewIntervalMs = 500;
/**
 * Capacity is reserved once the waiting work needs this fraction of all accelerators. Less work
 * than that starts by means of reservations, and a reserve for it would hold back work for which
 * there is enough capacity.
 */
const saturationFraction = 0.75;
/**
 * Relative change of the reserve below which it is not updated, because after each update the
 * dispatcher checks the blocked shapes against all workers again.
 */
const minRelativeChange = 0.1;

/**
 * Reserves processors and memory for the free accelerators while work that needs accelerators
 * waits. Otherwise other work strands accelerators: it uses the last memory of a worker whose
 * accelerators then stay idle. Nothing is reserved for work that does not wait or whose team is at
 * its limit.
 */
export class AcceleratorReserve {
  readonly #fleet: Fleet;
  readonly #search: WaitingSearch;
  #reserved: Resources = zeroResources;
  #updatedAt = -Infinity;

  /**
   * @param fleet - workers of the shard
   * @param search - finds waiting classes
   */
  public constructor(fleet: Fleet, search: WaitingSearch) {
    this.#fleet = fleet;
    this.#search = search;
  }

  /**
   * Updates the reserve from the waiting work.
   *
   * @param now - monotonic time in milliseconds
   * @param reserving - gang that has a reservation of its own; undefined if there is none
   */
  public update(now: number, reserving?: RequestRecord): void {
    if (now - this.#updatedAt < reviewIntervalMs) return;
    this.#updatedAt = now;
    const reserved = this.#calculate(reserving);
    if (!this.#hasChanged(reserved.processors, this.#reserved.processors)) {
      if (!this.#hasChanged(reserved.memoryMb, this.#reserved.memoryMb)) return;
    }
    this.#reserved = reserved;
    this.#fleet.setAcceleratorReserve(reserved);
  }

  /**
   * Calculates the mean demand of the waiting work per accelerator, scaled to the part of the free
   * accelerators that it can use.
   */
  #calculate(reserving: RequestRecord | undefined): Resources {
    const free = this.#fleet.free.accelerators;
    const waiting = this.#sumDemand(reserving);
    const saturationThreshold = saturationFraction * this.#fleet.totalCapacity.accelerators;
    if (waiting.accelerators === 0 || waiting.accelerators < saturationThreshold)
      return zeroResources;
    const usableFraction = Math.min(1, waiting.accelerators / Math.max(1, free));
    const reserved = scaleResources(waiting, usableFraction / waiting.accelerators);
    return { ...reserved, accelerators: 0 };
  }

  #sumDemand(reserving: RequestRecord | undefined): Resources {
    const sum = this.#search.sumAcceleratorDemand();
    const request = reserving?.request;
    if (request === undefined || request.size.accelerators === 0) return sum;
    return maxResources(
      zeroResources,
      subtractResources(sum, scaleResources(request.size, request.tasks)),
    );
  }

  #hasChanged(left: number, right: number): boolean {
    return Math.abs(left - right) > minRelativeChange * Math.max(left, right);
  }
}
