import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedResources } from './PlannedResources.js';
import type { Reservations } from './Reservations.js';
import { computeWorkerCost } from './computeWorkerCost.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places each waiting task independently on the cheapest worker with enough free capacity. */
export class IndependentTaskPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const { step, maxTasks, bound } = request;
    const planned = new PlannedResources(step, reservations);
    const ranked = candidates
      .map((candidate) => ({ ...candidate, cost: computeWorkerCost(request, candidate.worker) }))
      .sort((a, b) => a.cost - b.cost);
    const assignments: TaskAssignment[] = [];
    for (const [task, candidate] of bound) {
      if (assignments.length >= maxTasks) break;
      if (candidate === undefined || !planned.canAdmit(candidate.worker)) continue;
      planned.addTask(candidate.worker);
      assignments.push({ task, ...candidate });
    }
    let next = 0;
    for (const task of step.tasks) {
      if (assignments.length >= maxTasks) break;
      if (task.phase !== 'waiting' || bound.has(task)) continue;
      // Candidates only fill up during the pass, so a skipped one is still full and need not be checked again.
      while (next < ranked.length && !this.#canAdmit(planned, ranked[next])) next += 1;
      const chosen = ranked[next];
      if (chosen === undefined) break;
      planned.addTask(chosen.worker);
      assignments.push({ task, worker: chosen.worker, permit: chosen.permit });
    }
    return assignments;
  }

  #canAdmit(planned: PlannedResources, candidate: Candidate | undefined): boolean {
    return candidate !== undefined && planned.canAdmit(candidate.worker);
  }
}
