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

const readQuantile = (sorted: readonly number[], part: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;

/** Follows the tasks of a simulated site: allocated capacity, use per team and waiting times. */
export class SiteRecord implements TaskObserver {
  readonly #room: Resources;
  readonly #use = new Map<string, Resources>();
  readonly #sums = new Map<string, Resources>();
  readonly #started = new Map<string, Set<number>>();
  readonly #startedAt = new Map<string, number>();
  #allocated = zeroResources;
  #sum = zeroResources;
  #samples = 0;

  /** @param workers - first reports of all workers */
  public constructor(workers: readonly Report[]) {
    this.#room = workers.reduce((sum, { room }) => addResources(sum, room), zeroResources);
  }

  /** Mean allocated part of each resource. */
  public get allocated(): Resources {
    const mean = scaleResources(this.#sum, 1 / this.#samples);
    return {
      processors: mean.processors / this.#room.processors,
      memoryMb: mean.memoryMb / this.#room.memoryMb,
      accelerators: mean.accelerators / this.#room.accelerators,
    };
  }

  /** A request counts as started when each of its tasks started once. */
  public readonly noteStart = (
    request: Request,
    index: number,
    nowMs: number,
    speed: number,
  ): void => {
    const { id, team, size, tasks } = request;
    this.#allocated = addResources(this.#allocated, size);
    const done = scaleResources(size, speed);
    this.#use.set(team, addResources(this.#use.get(team) ?? zeroResources, done));
    const started = this.#started.get(id) ?? new Set<number>();
    this.#started.set(id, started.add(index));
    if (started.size === tasks && !this.#startedAt.has(id)) this.#startedAt.set(id, nowMs);
  };

  /** Counts the end of a task. */
  public readonly noteEnd = ({ team, size }: Request, speed: number): void => {
    this.#allocated = subtractResources(this.#allocated, size);
    const done = scaleResources(size, speed);
    this.#use.set(team, subtractResources(this.#use.get(team) ?? zeroResources, done));
  };

  /** Takes a sample of what is allocated. */
  public sample(): void {
    this.#samples += 1;
    this.#sum = addResources(this.#sum, this.#allocated);
    for (const [team, use] of this.#use) {
      this.#sums.set(team, addResources(this.#sums.get(team) ?? zeroResources, use));
    }
  }

  /**
   * Summarises waiting times.
   *
   * @param arrivals - the requests
   * @param endsAt - time of the end of the simulation
   * @returns the summary
   */
  public summariseWaits(arrivals: readonly Arrival[], endsAt: number): WaitSummary {
    const waits = arrivals
      .map(({ request, arrivesAt }) => (this.#startedAt.get(request.id) ?? endsAt) - arrivesAt)
      .sort((left, right) => left - right);
    const waiting = arrivals.filter(({ request }) => !this.#startedAt.has(request.id)).length;
    return {
      p50Ms: readQuantile(waits, 0.5),
      p99Ms: readQuantile(waits, 0.99),
      waiting,
      count: arrivals.length,
    };
  }

  /**
   * Summarises the use of a team. Both figures count the work, so that neither the speed of the workers nor
   * what arrives too late to end within the samples looks like a part of the share.
   *
   * @param team - name of the team
   * @param arrivals - all its requests
   * @param period - time of the simulation
   * @returns the summary
   */
  public summariseTeam(
    team: string,
    arrivals: readonly Arrival[],
    { measuredFromMs, durationMs }: Period,
  ): TeamSummary {
    const use = scaleResources(this.#sums.get(team) ?? zeroResources, 1 / this.#samples);
    const demand = arrivals.reduce((sum, { request, arrivesAt, runMs }) => {
      const from = Math.max(arrivesAt, measuredFromMs);
      const workMs = Math.max(0, Math.min(arrivesAt + runMs, durationMs) - from);
      const part = workMs / (durationMs - measuredFromMs);
      return addResources(sum, scaleResources(request.size, request.tasks * part));
    }, zeroResources);
    return {
      use: calculateDominantShare(use, this.#room),
      demand: calculateDominantShare(demand, this.#room),
    };
  }
}
