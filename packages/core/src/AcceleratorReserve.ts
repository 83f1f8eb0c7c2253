import type { Resources } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { maxResources } from './maxResources.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import type { WaitingSearch } from './WaitingSearch.js';
import { zeroResources } from './zeroResources.js';

/** Interval between looks at the waiting work. */
const reviewIntervalMs = 500;
/**
 * Room is kept once the waiting work needs this part of all accelerators. Less work than that gets in by
 * reservations, and room that is kept for it would hold back work that has enough capacity.
 */
const saturationFraction = 0.75;
/** A change of the amount by less than this part is not worth trying everything again. */
const minRelativeChange = 0.1;

/**
 * Keeps processors and memory beside the free accelerators while work that needs accelerators waits.
 * Without it other work strands accelerators: it takes the last memory of a worker whose accelerators
 * stay idle. Nothing is kept for work that does not wait or whose team is at its limit.
 */
export class AcceleratorReserve {
  readonly #fleet: Fleet;
  readonly #search: WaitingSearch;
  #reserved: Resources = zeroResources;
  #updatedAt = -Infinity;

  /**
   * @param fleet - workers of the shard
   * @param search - finds waiting work
   */
  public constructor(fleet: Fleet, search: WaitingSearch) {
    this.#fleet = fleet;
    this.#search = search;
  }

  /**
   * Follows the waiting work.
   *
   * @param now - local monotonic time in milliseconds
   * @param reserving - gang that has a reservation of its own, if there is one
   */
  public update(now: number, reserving?: RequestRecord): void {
    if (now - this.#updatedAt < reviewIntervalMs) return;
    this.#updatedAt = now;
    const kept = this.#calculate(reserving);
    if (!this.#hasChanged(kept.processors, this.#reserved.processors)) {
      if (!this.#hasChanged(kept.memoryMb, this.#reserved.memoryMb)) return;
    }
    this.#reserved = kept;
    this.#fleet.setAcceleratorReserve(kept);
  }

  /** The mean need of waiting work per accelerator, for as many accelerators as it can use. */
  #calculate(reserving: RequestRecord | undefined): Resources {
    const free = this.#fleet.free.accelerators;
    const waiting = this.#sumDemand(reserving);
    const saturating = saturationFraction * this.#fleet.totalCapacity.accelerators;
    if (waiting.accelerators === 0 || waiting.accelerators < saturating) return zeroResources;
    const needed = Math.min(1, waiting.accelerators / Math.max(1, free));
    const kept = scaleResources(waiting, needed / waiting.accelerators);
    return { ...kept, accelerators: 0 };
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
