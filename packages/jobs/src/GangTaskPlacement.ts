import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedResources } from './PlannedResources.js';
import type { Reservations } from './Reservations.js';
import { computeWorkerCost } from './computeWorkerCost.js';
import type { StepInstance } from './StepInstance.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places all tasks of a gang or none; on one rack if the step asks for it and a rack has the room. */
export class GangTaskPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const { step, limit } = request;
    if (step.waitingCount < step.tasks.length || limit < step.tasks.length) return [];
    const ranked = [...candidates].sort(
      (a, b) => computeWorkerCost(request, a.worker) - computeWorkerCost(request, b.worker),
    );
    if (step.description.wantsOneRack === true) {
      for (const rack of new Set(ranked.map(({ worker }) => worker.rack))) {
        const choices = this.#assignAll(
          step,
          ranked.filter(({ worker }) => worker.rack === rack),
          reservations,
        );
        if (choices.length > 0) return choices;
      }
    }
    return this.#assignAll(step, ranked, reservations);
  }

  #assignAll(
    step: StepInstance,
    ranked: readonly Candidate[],
    reservations: Reservations,
  ): readonly TaskAssignment[] {
    const planned = new PlannedResources(step, reservations);
    const choices: TaskAssignment[] = [];
    for (const task of step.tasks) {
      const chosen = ranked.find(({ worker }) => planned.canAdmit(worker));
      if (chosen === undefined) return [];
      planned.addTask(chosen.worker);
      choices.push({ task, ...chosen });
    }
    return choices;
  }
}
