import type { PendingStep } from './PendingStep.js';
import { schedulingLimits } from './schedulingLimits.js';

/** Change of the window after a long and after a short pass. */
const shrinkFactor = 0.75;
const growthFactor = 1.1;

/**
 * Limits the steps that one planning pass examines, so that a pass does not grow with the backlog: the first ones in
 * the order of service, and a part of the others that advances from pass to pass. Small tasks far behind still get
 * capacity that the first steps cannot use, a few passes later. The window shrinks while passes take long, so that the
 * first steps need not wait for a slow processor to examine all others.
 */
export class PlanningWindow {
  #nextOffset = 0;
  /** Share of the largest window that a pass examines. */
  #share = 1;

  /**
   * Selects the steps of the next pass.
   *
   * @param pending - all pending steps in the order in which they are served
   * @param turns - steps among them that have a turn
   * @returns the steps that have a turn, then the selected ones in the same order
   */
  public select(
    pending: readonly PendingStep[],
    turns: readonly PendingStep[] = [],
  ): readonly PendingStep[] {
    const selected = this.#selectInOrder(pending, turns.length);
    if (turns.length === 0) return selected;
    const preferred = new Set(turns);
    return [...turns, ...selected.filter((each) => !preferred.has(each))];
  }

  /** Steps with a turn take the places of further steps, so that a pass does not take longer. */
  #selectInOrder(pending: readonly PendingStep[], turnCount: number): readonly PendingStep[] {
    const firstSteps = Math.ceil(schedulingLimits.maxFirstSteps * this.#share);
    const furtherSteps = Math.max(
      1,
      Math.ceil(schedulingLimits.maxFurtherSteps * this.#share) - turnCount,
    );
    if (pending.length <= firstSteps + furtherSteps) return pending;
    const furtherCount = pending.length - firstSteps;
    const offset = this.#nextOffset < furtherCount ? this.#nextOffset : 0;
    this.#nextOffset = offset + furtherSteps;
    const from = firstSteps + offset;
    return [...pending.slice(0, firstSteps), ...pending.slice(from, from + furtherSteps)];
  }

  /**
   * Adapts the window to the processor.
   *
   * @param durationMs - duration of the last pass, in milliseconds
   */
  public recordDuration(durationMs: number): void {
    const { longPassMs, minWindowShare } = schedulingLimits;
    if (durationMs > longPassMs) this.#share = Math.max(minWindowShare, this.#share * shrinkFactor);
    else if (durationMs < longPassMs / 2) this.#share = Math.min(1, this.#share * growthFactor);
  }
}
