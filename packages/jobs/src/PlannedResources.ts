import type { Room } from '@toucanline/schema';
import type { Reservations } from './Reservations.js';
import { resources } from './resources.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** Room of workers while the tasks of one step are being placed. */
export class PlannedResources {
  readonly #step: StepInstance;
  readonly #reservations: Reservations;
  readonly #free = new Map<Worker, Room>();
  readonly #taskCounts = new Map<Worker, number>();

  /**
   * @param step - the step
   * @param reservations - room that work with an earlier turn waits for
   */
  public constructor(step: StepInstance, reservations: Reservations) {
    this.#step = step;
    this.#reservations = reservations;
  }

  /**
   * Tells whether one more task of the step fits.
   *
   * @param worker - the worker
   * @returns whether room and spread allow it, and opportunistic and serving tasks stay apart
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
   * Computes the free room of a worker after the choices made so far.
   *
   * @param worker - the worker
   * @returns its free room
   */
  public freeOn(worker: Worker): Room {
    const known = this.#free.get(worker);
    if (known !== undefined) return known;
    const unreserved = this.#reservations.freeOn(worker);
    const free =
      this.#step.description.isOpportunistic === true
        ? subtractOpportunistic(worker, unreserved)
        : unreserved;
    this.#free.set(worker, free);
    return free;
  }

  /** @param worker - worker that is to run one more task of the step */
  public addTask(worker: Worker): void {
    this.#free.set(worker, resources.add(this.freeOn(worker), this.#step.description.size, -1));
    this.#taskCounts.set(worker, this.#countTasks(worker) + 1);
  }

  #countTasks(worker: Worker): number {
    const known = this.#taskCounts.get(worker);
    if (known !== undefined) return known;
    let count = 0;
    for (const { step } of worker.tasks) if (step === this.#step) count += 1;
    this.#taskCounts.set(worker, count);
    return count;
  }

  /** Opportunistic tasks raise the response times of serving tasks on the same worker. */
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

/** Room that neither counted nor opportunistic tasks use. */
const subtractOpportunistic = (worker: Worker, unreserved: Room): Room => {
  let free = unreserved;
  for (const { step } of worker.tasks) {
    if (step.description.isOpportunistic !== true) continue;
    const { milliProcessors } = step.description.size;
    free = { ...free, milliProcessors: free.milliProcessors - milliProcessors };
  }
  return free;
};
