import {
  addResources,
  calculateDominantShare,
  scaleResources,
  subtractResources,
  zeroResources,
} from '@toucanline/core';
import type { Report, Request, Resources } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import type { Period } from './Period.js';
import type { TaskObserver } from './TaskObserver.js';
import type { TeamSummary } from './TeamSummary.js';
import type { WaitSummary } from './WaitSummary.js';

const readQuantile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

/** Collects the allocated capacity, the use per team and the waiting times of a simulated site. */
export class SiteStatistics implements TaskObserver {
  readonly #capacity: Resources;
  readonly #useByTeam = new Map<string, Resources>();
  readonly #useSumByTeam = new Map<string, Resources>();
  readonly #startedTasks = new Map<string, Set<number>>();
  readonly #startTimes = new Map<string, number>();
  #allocated = zeroResources;
  #allocatedSum = zeroResources;
  #sampleCount = 0;

  /** @param workers - initial reports of all workers */
  public constructor(workers: readonly Report[]) {
    this.#capacity = workers.reduce((sum, { room }) => addResources(sum, room), zeroResources);
  }

  /** Mean allocated fraction of each resource over all samples. */
  public get allocated(): Resources {
    const mean = scaleResources(this.#allocatedSum, 1 / this.#sampleCount);
    return {
      processors: mean.processors / this.#capacity.processors,
      memoryMb: mean.memoryMb / this.#capacity.memoryMb,
      accelerators: mean.accelerators / this.#capacity.accelerators,
    };
  }

  /** Records the start of a task. A request counts as started once each of its tasks has started. */
  public readonly recordStart = (
    request: Request,
    index: number,
    nowMs: number,
    speed: number,
  ): void => {
    const { id, team, size, tasks } = request;
    this.#allocated = addResources(this.#allocated, size);
    const done = scaleResources(size, speed);
    this.#useByTeam.set(team, addResources(this.#useByTeam.get(team) ?? zeroResources, done));
    const started = this.#startedTasks.get(id) ?? new Set<number>();
    this.#startedTasks.set(id, started.add(index));
    if (started.size === tasks && !this.#startTimes.has(id)) this.#startTimes.set(id, nowMs);
  };

  /** Records the end of a task. */
  public readonly recordEnd = ({ team, size }: Request, speed: number): void => {
    this.#allocated = subtractResources(this.#allocated, size);
    const done = scaleResources(size, speed);
    this.#useByTeam.set(team, subtractResources(this.#useByTeam.get(team) ?? zeroResources, done));
  };

  /** Samples the allocated capacity and the use per team. */
  public sample(): void {
    this.#sampleCount += 1;
    this.#allocatedSum = addResources(this.#allocatedSum, this.#allocated);
    for (const [team, use] of this.#useByTeam) {
      this.#useSumByTeam.set(
        team,
        addResources(this.#useSumByTeam.get(team) ?? zeroResources, use),
      );
    }
  }

  /**
   * Summarises the waiting times of requests.
   *
   * @param arrivals - the requests
   * @param endsAt - end of the simulation in milliseconds of simulated time
   * @returns the summary
   */
  public summariseWaits(arrivals: readonly Arrival[], endsAt: number): WaitSummary {
    const waits = arrivals
      .map(({ request, arrivesAt }) => (this.#startTimes.get(request.id) ?? endsAt) - arrivesAt)
      .sort((left, right) => left - right);
    const waiting = arrivals.filter(({ request }) => !this.#startTimes.has(request.id)).length;
    return {
      p50Ms: readQuantile(waits, 0.5),
      p99Ms: readQuantile(waits, 0.99),
      waiting,
      count: arrivals.length,
    };
  }

  /**
   * Summarises the use and demand of a team. Both count work as done on workers of speed 1 and within the
   * measured period. Otherwise slow workers, or requests that arrive too late to end in time, would look
   * like a deviation from the share.
   *
   * @param team - name of the team
   * @param arrivals - all requests of the team
   * @param period - measured period of the simulation
   * @returns the summary
   */
  public summariseTeam(
    team: string,
    arrivals: readonly Arrival[],
    { measuredFromMs, durationMs }: Period,
  ): TeamSummary {
    const use = scaleResources(
      this.#useSumByTeam.get(team) ?? zeroResources,
      1 / this.#sampleCount,
    );
    const demand = arrivals.reduce((sum, { request, arrivesAt, runMs }) => {
      const from = Math.max(arrivesAt, measuredFromMs);
      const workMs = Math.max(0, Math.min(arrivesAt + runMs, durationMs) - from);
      const fraction = workMs / (durationMs - measuredFromMs);
      return addResources(sum, scaleResources(request.size, request.tasks * fraction));
    }, zeroResources);
    return {
      use: calculateDominantShare(use, this.#capacity),
      demand: calculateDominantShare(demand, this.#capacity),
    };
  }
}
