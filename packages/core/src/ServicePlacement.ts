import type { Request } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { coversResources } from './coversResources.js';
import { Placement } from './Placement.js';
import { subtractResources } from './subtractResources.js';
import type { WorkerRecord } from './WorkerRecord.js';
import type { WorkerSource } from './WorkerSource.js';
import { zeroResources } from './zeroResources.js';

/**
 * Penalties in the rank of a worker: tasks of the same request on its rack or on the worker itself,
 * unused accelerators, and an earlier failure of the request. The worker with the lowest rank is
 * chosen.
 */
const sameRackPenalty = 10;
const sameWorkerPenalty = 100;
const acceleratorPenalty = 5;
const failedWorkerPenalty = 1000;
/**
 * Weight of the speed: a worker of twice the speed is preferred over one that is emptier by up to
 * this share.
 */
const speedWeight = 0.5;
/** Bounds of one search, so that its cost does not grow with the size of the fleet. */
const maxVisitedWorkers = 192;
const maxCandidates = 48;
const maxPerRack = 3;

/** Spreads the tasks of a service over racks and workers and prefers faster and emptier workers. */
export class ServicePlacement extends Placement {
  /** {@inheritDoc Placement.place} */
  public override place(
    request: Request,
    count: number,
    source: WorkerSource,
    occupied: readonly WorkerRecord[],
    avoided: ReadonlySet<string>,
  ): readonly WorkerRecord[] {
    const candidates = this.#findCandidates(request, count, source);
    const racks = new Map<string, number>();
    const tasks = new Map<WorkerRecord, number>();
    const addTask = (worker: WorkerRecord): void => {
      racks.set(worker.rack, (racks.get(worker.rack) ?? 0) + 1);
      tasks.set(worker, (tasks.get(worker) ?? 0) + 1);
    };
    for (const worker of occupied) addTask(worker);
    const free = new Map(candidates.map((worker) => [worker, worker.readFree(request)]));
    const chosen: WorkerRecord[] = [];
    while (chosen.length < count) {
      let best: WorkerRecord | undefined;
      let bestRank = Infinity;
      for (const [worker, left] of free) {
        const rank =
          this.#scoreWorker(worker, request) +
          (racks.get(worker.rack) ?? 0) * sameRackPenalty +
          (tasks.get(worker) ?? 0) * sameWorkerPenalty +
          (avoided.has(worker.id) ? failedWorkerPenalty : 0);
        if (rank >= bestRank || !coversResources(left, request.size)) continue;
        best = worker;
        bestRank = rank;
      }
      if (best === undefined) break;
      chosen.push(best);
      addTask(best);
      free.set(best, subtractResources(free.get(best) ?? zeroResources, request.size));
    }
    return chosen;
  }

  #scoreWorker(worker: WorkerRecord, request: Request): number {
    const isWasteful = request.size.accelerators === 0 && worker.totalCapacity.accelerators > 0;
    const used = 1 - calculateDominantShare(worker.free, worker.totalCapacity);
    return used - speedWeight * Math.log2(worker.speed) + (isWasteful ? acceleratorPenalty : 0);
  }

  /** Finds the fastest and emptiest workers, not more than a few per rack. */
  #findCandidates(request: Request, count: number, source: WorkerSource): readonly WorkerRecord[] {
    const candidates: WorkerRecord[] = [];
    const perRack = Math.max(maxPerRack, Math.ceil(count / 4));
    const racks = new Map<string, number>();
    let visits = 0;
    for (const worker of source.listFitting(request, true, false)) {
      const rackCount = racks.get(worker.rack) ?? 0;
      racks.set(worker.rack, rackCount + 1);
      if (rackCount < perRack) candidates.push(worker);
      visits += 1;
      if (visits >= maxVisitedWorkers + count || candidates.length >= maxCandidates + count) break;
    }
    return candidates;
  }
}
