import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import type { PriorityLevel } from './PriorityLevel.js';
import { coversResources } from './coversResources.js';
import type { RequestClass } from './RequestClass.js';
import { scaleResources } from './scaleResources.js';
import type { ShapeAvailability } from './ShapeAvailability.js';
import type { TeamOrder } from './TeamOrder.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** Maximum number of teams that a search considers: those furthest below their shares. */
const maxSearchedTeams = 32;

/** Finds waiting classes for reservations and backfill. */
export class WaitingSearch {
  readonly #urgent: PriorityLevel;
  readonly #normal: PriorityLevel;
  readonly #availability: ShapeAvailability;
  readonly #teams: TeamOrder;

  /**
   * @param urgent - classes of urgent requests
   * @param normal - all other classes
   * @param availability - tracks which shapes fit
   * @param teams - the teams by rank
   */
  public constructor(
    urgent: PriorityLevel,
    normal: PriorityLevel,
    availability: ShapeAvailability,
    teams: TeamOrder,
  ) {
    this.#urgent = urgent;
    this.#normal = normal;
    this.#availability = availability;
    this.#teams = teams;
  }

  /**
   * Lists the classes of gangs that wait for capacity.
   *
   * @returns the classes by the arrival of their oldest request
   */
  public listBlockedGangs(): readonly RequestClass[] {
    const gangs: RequestClass[] = [];
    for (const [shape, { isGang }] of this.#availability.blocked) {
      if (!isGang) continue;
      for (const level of [this.#urgent, this.#normal])
        gangs.push(...(level.findQueue(shape)?.listFirstClasses() ?? []));
    }
    return gangs.sort((left, right) => left.firstArrival - right.firstArrival);
  }

  /**
   * Finds a class that waits for capacity, other than of gangs or urgent work.
   *
   * @param accepts - checks whether a class is eligible
   * @returns the oldest such class of the team with the lowest rank; undefined if there is none
   */
  public findBlocked(accepts: (requestClass: RequestClass) => boolean): RequestClass | undefined {
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      let oldest: RequestClass | undefined;
      for (const queue of this.#normal.listQueues(team)) {
        if (
          queue.representative.isGang ||
          !this.#availability.blocked.has(queue.representative.shape)
        )
          continue;
        const requestClass = queue.findFirst(team);
        if (requestClass === undefined || !accepts(requestClass)) continue;
        if (oldest === undefined || requestClass.firstArrival < oldest.firstArrival)
          oldest = requestClass;
      }
      if (oldest !== undefined) return oldest;
    }
    return undefined;
  }

  /**
   * Finds a class with a short run time that fits into reserved capacity.
   *
   * @param worker - worker with the reserved capacity
   * @param free - the reserved capacity
   * @param maxRunMs - longest declared run time on this worker, in milliseconds
   * @returns a class of the team with the lowest rank whose oldest request fits; undefined if there
   * is none
   */
  public findBackfill(
    worker: WorkerRecord,
    free: Resources,
    maxRunMs: number,
  ): RequestClass | undefined {
    const fitting = [...this.#normal.queues].filter(({ representative }) => {
      const { size, acceleratorType, isGang } = representative;
      return !isGang && coversResources(free, size) && worker.isSuitable(size, acceleratorType);
    });
    if (fitting.length === 0) return undefined;
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      for (const queue of fitting) {
        const requestClass = queue.findFirst(team);
        const request = requestClass?.first?.request;
        if (request?.kind !== 'batch' || !worker.canHost(request)) continue;
        if (request.runTimeMs / worker.speed <= maxRunMs) return requestClass;
      }
    }
    return undefined;
  }

  /**
   * Sorts classes by the ranks of their teams.
   *
   * @param requestClasses - the classes
   * @returns the same classes; classes of equal rank keep their order
   */
  public sortByRank(requestClasses: readonly RequestClass[]): readonly RequestClass[] {
    const readRank = ({ team }: RequestClass): number => this.#teams.readRank(team) ?? 0;
    return [...requestClasses].sort((left, right) => readRank(left) - readRank(right));
  }

  /**
   * Sums the resources of waiting work that needs accelerators and whose team is not at its limit.
   *
   * @returns the sum of the sizes of all tasks of this work
   */
  public sumAcceleratorDemand(): Resources {
    let sum = zeroResources;
    for (const { queues } of [this.#urgent, this.#normal]) {
      for (const queue of queues) {
        const { size, gangSize } = queue.representative;
        if (size.accelerators === 0) continue;
        sum = addResources(sum, scaleResources(size, queue.countRequests() * gangSize));
      }
    }
    return sum;
  }
}
