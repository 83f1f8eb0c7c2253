import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { PlacementRequest } from './PlacementRequest.js';
import { PlannedRoom } from './PlannedRoom.js';
import type { Reservations } from './Reservations.js';
import { rateWorker } from './rateWorker.js';
import { TaskPlacement } from './TaskPlacement.js';

/** Places each waiting task for itself on the best worker with room. */
export class IndependentPlacement extends TaskPlacement {
  /** {@inheritDoc TaskPlacement.choose} */
  public override choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    reservations: Reservations,
  ): readonly Choice[] {
    const { step, limit } = request;
    const planned = new PlannedRoom(step, reservations);
    const ranked = candidates
      .map((candidate) => ({ ...candidate, rating: rateWorker(request, candidate.worker) }))
      .sort((a, b) => a.rating - b.rating);
    const choices: Choice[] = [];
    let next = 0;
    for (const task of step.tasks) {
      if (choices.length >= limit) break;
      if (task.phase !== 'waiting') continue;
      // Candidates only fill up during the pass, so those that were passed stay full.
      while (next < ranked.length && !this.#admits(planned, ranked[next])) next += 1;
      const chosen = ranked[next];
      if (chosen === undefined) break;
      planned.take(chosen.worker);
      choices.push({ task, worker: chosen.worker, permit: chosen.permit });
    }
    return choices;
  }

  #admits(planned: PlannedRoom, candidate: Candidate | undefined): boolean {
    return candidate !== undefined && planned.admits(candidate.worker);
  }
}
