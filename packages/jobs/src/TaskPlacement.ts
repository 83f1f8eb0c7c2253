import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import type { Reservations } from './Reservations.js';

/** Chooses workers for the waiting tasks of a step. */
export abstract class TaskPlacement {
  /**
   * Chooses workers. The room of earlier choices of the same call is taken into account.
   *
   * @param request - the step, and how many of its tasks
   * @param candidates - workers on which it may run
   * @param reservations - room that work with an earlier turn waits for
   * @returns choices for some of the waiting tasks, or none
   */
  public abstract choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[];
}
