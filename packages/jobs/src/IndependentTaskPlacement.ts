import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedResources } from './PlannedResources.js';
import type { Reservations } from './Reservations.js';
import { computeWorkerCost } from './computeWorkerCost.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places each waiting task for itself on the best worker with room. */
export class IndependentTaskPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const { step, limit } = request;
    const planned = new PlannedResources(step, reservations);
    const ranked = candidates
      .map((candidate) => ({ ...candidate, rating: computeWorkerCost(request, candidate.worker) }))
      .sort((a, b) => a.rating - b.rating);
    const choices: TaskAssignment[] = [];
    let next = 0;
    for (const task of step.tasks) {
      if (choices.length >= limit) break;
      if (task.phase !== 'waiting') continue;
      // Candidates only fill up during the pass, so those that were passed stay full.
      while (next < ranked.length && !this.#canAdmit(planned, ranked[next])) next += 1;
      const chosen = ranked[next];
      if (chosen === undefined) break;
      planned.addTask(chosen.worker);
      choices.push({ task, worker: chosen.worker, permit: chosen.permit });
    }
    return choices;
  }

  #canAdmit(planned: PlannedResources, candidate: Candidate | undefined): boolean {
    return candidate !== undefined && planned.canAdmit(candidate.worker);
  }
}
