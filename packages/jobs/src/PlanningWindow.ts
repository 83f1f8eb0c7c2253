import type { PendingStep } from './PendingStep.js';
import { schedulingLimits } from './schedulingLimits.js';

/**
 * Limits the steps that one planning pass examines, so that a pass does not grow with the backlog: the first ones in
 * the order of service, and a part of the others that advances from pass to pass. Small tasks far behind still get
 * capacity that the first steps cannot use, a few passes later.
 */
export class PlanningWindow {
  #nextOffset = 0;

  /**
   * Selects the steps of the next pass.
   *
   * @param pending - all pending steps in the order in which they are served
   * @returns the selected steps in the same order
   */
  public select(pending: readonly PendingStep[]): readonly PendingStep[] {
    const { maxFirstSteps, maxFurtherSteps } = schedulingLimits;
    if (pending.length <= maxFirstSteps + maxFurtherSteps) return pending;
    const furtherCount = pending.length - maxFirstSteps;
    const offset = this.#nextOffset < furtherCount ? this.#nextOffset : 0;
    this.#nextOffset = offset + maxFurtherSteps;
    const from = maxFirstSteps + offset;
    return [...pending.slice(0, maxFirstSteps), ...pending.slice(from, from + maxFurtherSteps)];
  }
}
