import type { Request } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { RankedPlacement } from './RankedPlacement.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Rank that keeps workers with accelerators for work that needs them. */
const acceleratorPenalty = 10;

/** Packs batch tasks tightly: the fullest worker that has room comes first. */
export class BatchPlacement extends RankedPlacement {
  /** {@inheritDoc RankedPlacement.rankWorker} */
  protected override rankWorker(worker: WorkerRecord, request: Request): number {
    const wastes = request.size.accelerators === 0 && worker.room.accelerators > 0;
    const free = calculateDominantShare(worker.free, worker.room);
    return free + (wastes ? acceleratorPenalty : 0);
  }
}
