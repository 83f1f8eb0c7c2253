import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { Reservations } from './Reservations.js';
import type { StepRun } from './StepRun.js';

/** Chooses workers for the waiting tasks of a step. */
export abstract class TaskPlacement {
  /**
   * Chooses workers. The room of earlier choices of the same call is taken into account.
   *
   * @param step - the step
   * @param candidates - workers on which it may run
   * @param limit - most tasks to place
   * @param reservations - room that work with an earlier turn waits for
   * @returns choices for some of the waiting tasks, or none
   */
  public abstract choose(
    step: StepRun,
    candidates: readonly Candidate[],
    limit: number,
    reservations: Reservations,
  ): readonly Choice[];
}
