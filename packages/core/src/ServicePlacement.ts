import type { Request } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { RankedPlacement } from './RankedPlacement.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Rank of a rack or worker that runs a task of the same request already. */
const sameRackPenalty = 10;
const sameWorkerPenalty = 100;
const acceleratorPenalty = 5;

/** Spreads the tasks of a service over racks and workers. */
export class ServicePlacement extends RankedPlacement {
  /** {@inheritDoc RankedPlacement.rankWorker} */
  protected override rankWorker(
    worker: WorkerRecord,
    request: Request,
    chosen: readonly WorkerRecord[],
  ): number {
    let rank = 1 - calculateDominantShare(worker.free, worker.room);
    for (const earlier of chosen) {
      if (earlier.rack === worker.rack) rank += sameRackPenalty;
      if (earlier === worker) rank += sameWorkerPenalty;
    }
    const wastes = request.size.accelerators === 0 && worker.room.accelerators > 0;
    return rank + (wastes ? acceleratorPenalty : 0);
  }
}
