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

/** Searches look only at the teams that are furthest below their shares. */
const maxSearchedTeams = 32;

/** Finds waiting work for reservations and loans. */
export class WaitingSearch {
  readonly #urgent: PriorityLevel;
  readonly #normal: PriorityLevel;
  readonly #availability: ShapeAvailability;
  readonly #teams: TeamOrder;

  /**
   * @param urgent - classes of urgent work
   * @param normal - all other classes
   * @param rooms - the shapes that do not fit
   * @param teams - the teams by rank
   */
  public constructor(
    urgent: PriorityLevel,
    normal: PriorityLevel,
    rooms: ShapeAvailability,
    teams: TeamOrder,
  ) {
    this.#urgent = urgent;
    this.#normal = normal;
    this.#availability = rooms;
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
      for (const lane of [this.#urgent, this.#normal])
        gangs.push(...(lane.findQueue(shape)?.listFirstClasses() ?? []));
    }
    return gangs.sort((left, right) => left.firstArrival - right.firstArrival);
  }

  /**
   * Finds a class that waits for capacity, other than of gangs or urgent work.
   *
   * @param accepts - whether a class is looked for
   * @returns the oldest such class of the team with the lowest rank, if there is one
   */
  public findBlocked(accepts: (group: RequestClass) => boolean): RequestClass | undefined {
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      let oldest: RequestClass | undefined;
      for (const queue of this.#normal.listQueues(team)) {
        if (
          queue.representative.isGang ||
          !this.#availability.blocked.has(queue.representative.shape)
        )
          continue;
        const group = queue.findFirst(team);
        if (group === undefined || !accepts(group)) continue;
        if (oldest === undefined || group.firstArrival < oldest.firstArrival) oldest = group;
      }
      if (oldest !== undefined) return oldest;
    }
    return undefined;
  }

  /**
   * Finds work that fits into capacity which other work may not take.
   *
   * @param worker - worker with the capacity
   * @param free - the capacity
   * @param maxRunMs - longest declared run time on this worker
   * @returns a class of the team with the lowest rank whose oldest request fits, if there is one
   */
  public findBackfill(
    worker: WorkerRecord,
    free: Resources,
    maxRunMs: number,
  ): RequestClass | undefined {
    const fitting = [...this.#normal.queues].filter(({ representative: sample }) => {
      const { size, acceleratorType, isGang } = sample;
      return !isGang && coversResources(free, size) && worker.isSuitable(size, acceleratorType);
    });
    if (fitting.length === 0) return undefined;
    for (const team of this.#teams.teams.slice(0, maxSearchedTeams)) {
      for (const queue of fitting) {
        const group = queue.findFirst(team);
        const request = group?.first?.request;
        if (request?.kind !== 'batch' || !worker.canHost(request)) continue;
        if (request.runTimeMs / worker.speed <= maxRunMs) return group;
      }
    }
    return undefined;
  }

  /**
   * Sorts classes by the rank of their teams.
   *
   * @param groups - the classes
   * @returns the same classes; those of one rank keep their order
   */
  public sortByRank(groups: readonly RequestClass[]): readonly RequestClass[] {
    const readRank = ({ team }: RequestClass): number => this.#teams.readRank(team) ?? 0;
    return [...groups].sort((left, right) => readRank(left) - readRank(right));
  }

  /**
   * Sums the waiting work that needs accelerators and whose team is not at its limit.
   *
   * @returns its size
   */
  public sumAcceleratorDemand(): Resources {
    let sum = zeroResources;
    for (const { queues } of [this.#urgent, this.#normal]) {
      for (const queue of queues) {
        const { size, gangSize: atOnce } = queue.representative;
        if (size.accelerators === 0) continue;
        sum = addResources(sum, scaleResources(size, queue.countRequests() * atOnce));
      }
    }
    return sum;
  }
}
