import type { Room } from '@toucanline/schema';
import type { Reservations } from './Reservations.js';
import { resources } from './resources.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** Free capacity of workers while the tasks of one step are being placed. */
export class PlannedResources {
  readonly #step: StepInstance;
  readonly #reservations: Reservations;
  readonly #freeByWorker = new Map<Worker, Room>();
  readonly #taskCountByWorker = new Map<Worker, number>();

  /**
   * @param step - step whose tasks are being placed
   * @param reservations - capacity reserved for steps that are served earlier
   */
  public constructor(step: StepInstance, reservations: Reservations) {
    this.#step = step;
    this.#reservations = reservations;
  }

  /**
   * Checks whether one more task of the step may be placed on a worker.
   *
   * @param worker - worker to check
   * @returns whether the task fits, the limit of tasks per worker allows it, and opportunistic and serving tasks stay
   * apart
   */
  public canAdmit(worker: Worker): boolean {
    const { size, maxPerWorker } = this.#step.description;
    return (
      resources.fits(size, this.freeOn(worker)) &&
      (maxPerWorker === undefined || this.#countTasks(worker) < maxPerWorker) &&
      !this.#hasInterference(worker)
    );
  }

  /**
   * Computes the free capacity of a worker after the assignments made so far.
   *
   * @param worker - worker to check
   * @returns free capacity without reservations; for an opportunistic step also without other opportunistic tasks
   */
  public freeOn(worker: Worker): Room {
    const known = this.#freeByWorker.get(worker);
    if (known !== undefined) return known;
    const unreserved = this.#reservations.freeOn(worker);
    const free =
      this.#step.description.isOpportunistic === true
        ? subtractOpportunistic(worker, unreserved)
        : unreserved;
    this.#freeByWorker.set(worker, free);
    return free;
  }

  /**
   * Counts one more task of the step on a worker.
   *
   * @param worker - worker to which the task was assigned
   */
  public addTask(worker: Worker): void {
    this.#freeByWorker.set(
      worker,
      resources.add(this.freeOn(worker), this.#step.description.size, -1),
    );
    this.#taskCountByWorker.set(worker, this.#countTasks(worker) + 1);
  }

  #countTasks(worker: Worker): number {
    const known = this.#taskCountByWorker.get(worker);
    if (known !== undefined) return known;
    let count = 0;
    for (const { step } of worker.tasks) if (step === this.#step) count += 1;
    this.#taskCountByWorker.set(worker, count);
    return count;
  }

  /**
   * Keeps opportunistic and serving tasks apart: the former raise the response times of the latter on the same
   * worker.
   */
  #hasInterference(worker: Worker): boolean {
    const { isOpportunistic, latencyTargetMs } = this.#step.description;
    if (isOpportunistic !== true && latencyTargetMs === undefined) return false;
    for (const { step } of worker.tasks) {
      const { description } = step;
      if (isOpportunistic === true && description.latencyTargetMs !== undefined) return true;
      if (latencyTargetMs !== undefined && description.isOpportunistic === true) return true;
    }
    return false;
  }
}

/** Subtracts the processors of opportunistic tasks, which the free capacity of a worker does not account for. */
const subtractOpportunistic = (worker: Worker, unreserved: Room): Room => {
  let free = unreserved;
  for (const { step } of worker.tasks) {
    if (step.description.isOpportunistic !== true) continue;
    const { milliProcessors } = step.description.size;
    free = { ...free, milliProcessors: free.milliProcessors - milliProcessors };
  }
  return free;
};
