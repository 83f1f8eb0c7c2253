import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import type { Reservations } from './Reservations.js';

/** Strategy that chooses workers for the waiting tasks of a step. */
export abstract class TaskPlacement {
  /**
   * Chooses workers. The resources of earlier assignments of the same call are taken into account.
   *
   * @param request - step and maximum number of its tasks
   * @param candidates - workers on which the step may run
   * @param reservations - capacity reserved for steps that are served earlier
   * @returns assignments for some of the waiting tasks, or none
   */
  public abstract choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[];
}
