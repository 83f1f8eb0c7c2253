import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedResources } from './PlannedResources.js';
import type { Reservations } from './Reservations.js';
import { computeWorkerCost } from './computeWorkerCost.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places all tasks of a gang or none; on one rack if the step prefers that and a rack has the free capacity. */
export class GangTaskPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const { step, maxTasks } = request;
    if (step.waitingCount < step.tasks.length || maxTasks < step.tasks.length) return [];
    const ranked = [...candidates].sort(
      (a, b) => computeWorkerCost(request, a.worker) - computeWorkerCost(request, b.worker),
    );
    if (step.description.wantsOneRack === true) {
      for (const rack of new Set(ranked.map(({ worker }) => worker.rack))) {
        const assignments = this.#assignAll(
          request,
          ranked.filter(({ worker }) => worker.rack === rack),
          reservations,
        );
        if (assignments.length > 0) return assignments;
      }
    }
    return this.#assignAll(request, ranked, reservations);
  }

  /** Assigns all tasks or none; those that are bound to a worker first, since they have no choice. */
  #assignAll(
    { step, bound }: PlacementRequest,
    ranked: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const planned = new PlannedResources(step, reservations);
    const assignments: TaskAssignment[] = [];
    for (const [task, candidate] of bound) {
      if (candidate === undefined || !planned.canAdmit(candidate.worker)) return [];
      planned.addTask(candidate.worker);
      assignments.push({ task, ...candidate });
    }
    for (const task of step.tasks) {
      if (bound.has(task)) continue;
      const chosen = ranked.find(({ worker }) => planned.canAdmit(worker));
      if (chosen === undefined) return [];
      planned.addTask(chosen.worker);
      assignments.push({ task, ...chosen });
    }
    return assignments;
  }
}
