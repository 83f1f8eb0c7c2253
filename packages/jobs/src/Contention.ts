import type { PendingStep } from './PendingStep.js';
import { isLargeTask } from './isLargeTask.js';
import type { Worker } from './Worker.js';

/**
 * Measures how much the waiting large tasks depend on each worker. Steps that fit on several workers leave the
 * contended ones to steps with no alternative: the policy allows some steps on only one or two workers.
 */
export class Contention {
  readonly #weights = new Map<Worker, number>();

  /**
   * Adds a pending step.
   *
   * @param pending - step with waiting tasks
   * @param allowed - workers on which it may run
   */
  public addStep({ step }: PendingStep, allowed: readonly Worker[]): void {
    const { size } = step.description;
    const fitting = allowed.filter(({ entry }) => isLargeTask(size, entry.capacity));
    for (const worker of fitting) {
      this.#weights.set(worker, this.findWeight(worker) + step.waitingCount / fitting.length);
    }
  }

  /**
   * Finds how much the pending steps depend on a worker.
   *
   * @param worker - worker to check
   * @returns number of large tasks that fit on it, each divided by the number of workers on which it fits
   */
  public findWeight(worker: Worker): number {
    return this.#weights.get(worker) ?? 0;
  }
}
