import type { Request } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import type { Fleet } from './Fleet.js';
import { Placement } from './Placement.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Placement that takes the worker with the lowest rank for each task in turn. */
export abstract class RankedPlacement extends Placement {
  /** {@inheritDoc Placement.place} */
  public override place(request: Request, count: number, fleet: Fleet): readonly WorkerRecord[] {
    const chosen: WorkerRecord[] = [];
    for (let index = 0; index < count; index += 1) {
      const worker = this.#chooseWorker(request, fleet, chosen);
      if (worker === undefined) break;
      chosen.push(worker);
    }
    return chosen;
  }

  /**
   * Ranks a worker that has room for the task.
   *
   * @param worker - the worker
   * @param request - the request
   * @param chosen - workers chosen for earlier tasks of the request
   * @returns the rank; the lowest one is chosen
   */
  protected abstract rankWorker(
    worker: WorkerRecord,
    request: Request,
    chosen: readonly WorkerRecord[],
  ): number;

  #chooseWorker(
    request: Request,
    fleet: Fleet,
    chosen: readonly WorkerRecord[],
  ): WorkerRecord | undefined {
    let best: WorkerRecord | undefined;
    let bestRank = Infinity;
    for (const worker of fleet.workers) {
      if (!this.#hasRoom(worker, request, chosen)) continue;
      const rank = this.rankWorker(worker, request, chosen);
      if (rank < bestRank) {
        best = worker;
        bestRank = rank;
      }
    }
    return best;
  }

  #hasRoom(worker: WorkerRecord, request: Request, chosen: readonly WorkerRecord[]): boolean {
    if (!worker.canTake(request.size, request.acceleratorType)) return false;
    let needed = request.size;
    for (const earlier of chosen) {
      if (earlier === worker) needed = addResources(needed, request.size);
    }
    return coversResources(worker.free, needed);
  }
}
