import type { PendingStep } from './PendingStep.js';
import { isLargeTask } from './isLargeTask.js';
import type { Worker } from './Worker.js';

/**
 * How much the large tasks that wait depend on each worker. A step that has a choice leaves the workers to others
 * that have none: the policy allows some steps on one or two workers only.
 */
export class Contention {
  readonly #weights = new Map<Worker, number>();

  /**
   * Counts a step that waits.
   *
   * @param demand - the step
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
   * Tells how much waiting steps depend on a worker.
   *
   * @param worker - the worker
   * @returns tasks that need it, those that have a choice counted in part
   */
  public findWeight(worker: Worker): number {
    return this.#weights.get(worker) ?? 0;
  }
}
