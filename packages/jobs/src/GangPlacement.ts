import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedRoom } from './PlannedRoom.js';
import type { Reservations } from './Reservations.js';
import { rateWorker } from './rateWorker.js';
import type { StepRun } from './StepRun.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places all tasks of a gang or none; on one rack if the step asks for it and a rack has the room. */
export class GangPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly Choice[] {
    const { step, limit } = request;
    if (step.waitingCount < step.tasks.length || limit < step.tasks.length) return [];
    const ranked = [...candidates].sort(
      (a, b) => rateWorker(request, a.worker) - rateWorker(request, b.worker),
    );
    if (step.description.wantsOneRack === true) {
      for (const rack of new Set(ranked.map(({ worker }) => worker.rack))) {
        const choices = this.#fill(
          step,
          ranked.filter(({ worker }) => worker.rack === rack),
          reservations,
        );
        if (choices.length > 0) return choices;
      }
    }
    return this.#fill(step, ranked, reservations);
  }

  #fill(
    step: StepRun,
    ranked: readonly Candidate[],
    reservations: Reservations,
  ): readonly Choice[] {
    const planned = new PlannedRoom(step, reservations);
    const choices: Choice[] = [];
    for (const task of step.tasks) {
      const chosen = ranked.find(({ worker }) => planned.admits(worker));
      if (chosen === undefined) return [];
      planned.take(chosen.worker);
      choices.push({ task, ...chosen });
    }
    return choices;
  }
}
