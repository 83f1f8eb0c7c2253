import type { EligibleWorkers } from '../EligibleWorkers.js';
import type { PendingStep } from '../PendingStep.js';
import type { PermitCache } from '../PermitCache.js';
import type { StepInstance } from '../StepInstance.js';
import type { Evacuations } from './Evacuations.js';
import { isBlockedByEvacuation } from './isBlockedByEvacuation.js';

/**
 * Time after which a blocked step is examined again, in milliseconds: a worker on which it fits may have been added.
 * Until then it takes no place in the planning window, so that blocked steps do not displace others.
 */
const recheckMs = 500;

/** Steps that wait for the end of an evacuation. They reserve nothing, preempt nothing and request no permits. */
export class BlockedSteps {
  readonly #evacuations: Evacuations;
  readonly #permits: PermitCache;
  /** Blocked steps, and the monotonic time in milliseconds of their last examination. */
  readonly #checkedAt = new Map<StepInstance, number>();
  #evacuationChanges = 0;
  #added: StepInstance[] = [];

  /**
   * @param evacuations - evacuated data centres
   * @param permits - verdicts of the placement policy
   */
  public constructor(evacuations: Evacuations, permits: PermitCache) {
    this.#evacuations = evacuations;
    this.#permits = permits;
  }

  /** Number of blocked steps. */
  public get count(): number {
    return this.#checkedAt.size;
  }

  /**
   * Takes the steps that were found to be blocked since the last call.
   *
   * @returns blocked steps, each once for as long as it stays blocked
   */
  public takeAdded(): readonly StepInstance[] {
    const added = this.#added;
    this.#added = [];
    return added;
  }

  /**
   * Leaves out the steps that are known to be blocked, until they are due to be examined again.
   *
   * @param pending - steps with waiting tasks
   * @param now - monotonic time in milliseconds
   * @returns steps that the pass may examine, in the same order
   */
  public selectUnblocked(pending: readonly PendingStep[], now: number): readonly PendingStep[] {
    this.#removeOutdated();
    if (this.#checkedAt.size === 0) return pending;
    return pending.filter(
      ({ step }) => now >= (this.#checkedAt.get(step) ?? -Infinity) + recheckMs,
    );
  }

  /**
   * Examines steps.
   *
   * @param pending - steps that the pass examines
   * @param eligible - workers of the pass
   * @param now - monotonic time in milliseconds
   * @returns steps that are not blocked, in the same order
   */
  public examine(
    pending: readonly PendingStep[],
    eligible: EligibleWorkers,
    now: number,
  ): readonly PendingStep[] {
    if (this.#evacuations.dataCentres.size === 0) return pending;
    return pending.filter((each) => {
      const { step } = each;
      if (!isBlockedByEvacuation(step, eligible.find(each), this.#permits)) {
        this.#checkedAt.delete(step);
        return true;
      }
      if (!this.#checkedAt.has(step)) this.#added.push(step);
      this.#checkedAt.set(step, now);
      return false;
    });
  }

  /** Removes steps that no longer wait, and marks all as due after an evacuation has begun or ended. */
  #removeOutdated(): void {
    const { changeCount, dataCentres } = this.#evacuations;
    if (dataCentres.size === 0) this.#checkedAt.clear();
    for (const step of this.#checkedAt.keys())
      if (step.waitingCount === 0 || step.job.isFinished) this.#checkedAt.delete(step);
    if (changeCount === this.#evacuationChanges) return;
    this.#evacuationChanges = changeCount;
    for (const step of this.#checkedAt.keys()) this.#checkedAt.set(step, -Infinity);
  }
}
