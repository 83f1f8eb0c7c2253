import type { Room } from '@toucanline/schema';
import type { Demand } from './Demand.js';
import type { JobTerms } from './JobTerms.js';
import type { Reservations } from './Reservations.js';
import { rooms } from './rooms.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** Chooses running work that gives way to more urgent work. Only tasks with checkpoints are stopped. */
export class Preemption {
  readonly #terms: JobTerms;
  readonly #reservations: Reservations;
  readonly #chosen = new Set<Task>();
  /** Tasks that may be stopped at all, by worker; most workers have none. */
  readonly #stoppable = new Map<Worker, readonly Task[]>();

  /**
   * @param terms - terms of the queues
   * @param reservations - room that blocked work waits for
   */
  public constructor(terms: JobTerms, reservations: Reservations) {
    this.#terms = terms;
    this.#reservations = reservations;
  }

  /** Tasks that are to be stopped. */
  public get chosen(): ReadonlySet<Task> {
    return this.#chosen;
  }

  /**
   * Makes room for one task of a demand and reserves it.
   *
   * @param demand - the blocked demand
   * @param workers - workers on which it may run
   * @param now - monotonic time
   * @returns whether a worker will have the room
   */
  public makeRoom(demand: Demand, workers: readonly Worker[], now: number): boolean {
    const { size } = demand.step.description;
    let best: { readonly worker: Worker; readonly victims: readonly Task[] } | undefined;
    for (const worker of workers) {
      if (!this.#canMakeRoom(worker, now)) continue;
      const victims = this.#findVictims(worker, size, demand, now);
      if (victims === undefined) continue;
      if (best === undefined || victims.length < best.victims.length) best = { worker, victims };
    }
    if (best === undefined) return false;
    for (const victim of best.victims) this.#chosen.add(victim);
    this.#reservations.add(best.worker, size);
    return true;
  }

  /** Returns undefined if stopping whatever may be stopped does not suffice. */
  #findVictims(
    worker: Worker,
    size: Room,
    demand: Demand,
    now: number,
  ): readonly Task[] | undefined {
    let free = this.#reservations.freeOn(worker);
    for (const task of worker.tasks) {
      const isLeaving = task.phase === 'stopping' || this.#chosen.has(task);
      if (isLeaving) free = rooms.add(free, task.occupiedRoom);
    }
    const victims: Task[] = [];
    for (const task of this.#listStoppable(worker, now)) {
      if (rooms.fits(size, free)) break;
      if (!this.#yieldsTo(task, demand)) continue;
      victims.push(task);
      free = rooms.add(free, task.occupiedRoom);
    }
    return rooms.fits(size, free) ? victims : undefined;
  }

  #canMakeRoom(worker: Worker, now: number): boolean {
    if (this.#listStoppable(worker, now).length > 0) return true;
    for (const { phase } of worker.tasks) if (phase === 'stopping') return true;
    return false;
  }

  #listStoppable(worker: Worker, now: number): readonly Task[] {
    const known = this.#stoppable.get(worker);
    if (known !== undefined) return known;
    const tasks = [...worker.tasks].filter(({ phase, since, step: { description } }) => {
      if (phase !== 'running' || now - since < schedulingLimits.minPreemptionAgeMs) return false;
      // Stopping one member ends the whole gang, which costs more than the room that it frees.
      return (
        description.hasCheckpoints === true &&
        description.isLongRunning !== true &&
        description.isGang !== true
      );
    });
    this.#stoppable.set(worker, tasks);
    return tasks;
  }

  #yieldsTo(task: Task, demand: Demand): boolean {
    const priority = this.#terms.find(task.step.job)?.priority ?? 0;
    return priority > demand.queue.priority && !this.#chosen.has(task);
  }
}
