import type { Room } from '@toucanline/schema';
import type { PendingStep } from './PendingStep.js';
import type { QueueSettings } from './QueueSettings.js';
import type { Reservations } from './Reservations.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** Tasks of a worker whose resources are being freed or can be freed. */
interface FreeableTasks {
  readonly preemptible: readonly Task[];
  /** Lowest urgency among the preemptible tasks, as the priority of their queue; 0 if there are none. */
  readonly maxPriority: number;
  readonly hasStopping: boolean;
}

/** Chooses running tasks to stop in favour of more urgent work. Only tasks with checkpoints are preempted. */
export class Preemption {
  readonly #queues: QueueSettings;
  readonly #reservations: Reservations;
  readonly #victims = new Set<Task>();
  /** Cached tasks whose resources are or can be freed, by worker; most workers have none. */
  readonly #freeable = new Map<Worker, FreeableTasks>();

  /**
   * @param queues - settings of the queues
   * @param reservations - capacity reserved for steps that are served earlier
   */
  public constructor(queues: QueueSettings, reservations: Reservations) {
    this.#queues = queues;
    this.#reservations = reservations;
  }

  /** Tasks chosen to be stopped. */
  public get victims(): ReadonlySet<Task> {
    return this.#victims;
  }

  /**
   * Chooses the fewest victims that free enough capacity for one task, and reserves that capacity.
   *
   * @param pending - step whose task cannot be placed
   * @param workers - workers on which it may run
   * @param now - monotonic time in milliseconds
   * @returns whether a worker will have the capacity
   */
  public preemptFor(pending: PendingStep, workers: readonly Worker[], now: number): boolean {
    const { size } = pending.step.description;
    let best: { readonly worker: Worker; readonly victims: readonly Task[] } | undefined;
    for (const worker of workers) {
      const { maxPriority, hasStopping } = this.#findFreeable(worker, now);
      if (maxPriority <= pending.queue.priority && !hasStopping) continue;
      const victims = this.#findVictims(worker, size, pending, now);
      if (victims === undefined) continue;
      if (best === undefined || victims.length < best.victims.length) best = { worker, victims };
    }
    if (best === undefined) return false;
    for (const victim of best.victims) this.#victims.add(victim);
    this.#reservations.reserve(best.worker, size);
    return true;
  }

  /** Returns undefined if stopping all preemptible tasks does not free enough capacity. */
  #findVictims(
    worker: Worker,
    size: Room,
    pending: PendingStep,
    now: number,
  ): readonly Task[] | undefined {
    let free = this.#reservations.freeOn(worker);
    for (const task of worker.tasks) {
      const isLeaving = task.phase === 'stopping' || this.#victims.has(task);
      if (isLeaving) free = resources.add(free, task.occupiedResources);
    }
    const victims: Task[] = [];
    for (const task of this.#findFreeable(worker, now).preemptible) {
      if (resources.fits(size, free)) break;
      if (!this.#canPreempt(task, pending)) continue;
      victims.push(task);
      free = resources.add(free, task.occupiedResources);
    }
    return resources.fits(size, free) ? victims : undefined;
  }

  #findFreeable(worker: Worker, now: number): FreeableTasks {
    const known = this.#freeable.get(worker);
    if (known !== undefined) return known;
    const preemptible: Task[] = [];
    let maxPriority = 0;
    let hasStopping = false;
    for (const task of worker.tasks) {
      if (task.phase === 'stopping') hasStopping = true;
      else if (isPreemptible(task, now)) {
        preemptible.push(task);
        maxPriority = Math.max(maxPriority, this.#findPriority(task));
      }
    }
    const freeable = { preemptible, maxPriority, hasStopping };
    this.#freeable.set(worker, freeable);
    return freeable;
  }

  #findPriority(task: Task): number {
    return this.#queues.findQueue(task.step.job)?.priority ?? 0;
  }

  #canPreempt(task: Task, pending: PendingStep): boolean {
    return this.#findPriority(task) > pending.queue.priority && !this.#victims.has(task);
  }
}

/** Stopping one member ends the whole gang, which costs more work than the freed capacity is worth. */
const isPreemptible = (
  { phase, phaseStartedAt, step: { description } }: Task,
  now: number,
): boolean =>
  phase === 'running' &&
  now - phaseStartedAt >= schedulingLimits.minPreemptionAgeMs &&
  description.hasCheckpoints === true &&
  description.isLongRunning !== true &&
  description.isGang !== true;
