import type { Request } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { coversResources } from './coversResources.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { WorkerSource } from './WorkerSource.js';

/** Source of a few candidate workers, used when no other worker can have enough free capacity. */
export class CandidateSource extends WorkerSource {
  readonly #workers: Iterable<WorkerRecord>;

  /** @param workers - the candidate workers */
  public constructor(workers: Iterable<WorkerRecord>) {
    super();
    this.#workers = workers;
  }

  /** {@inheritDoc WorkerSource.listFitting} */
  public override listFitting(
    request: Request,
    prefersFast: boolean,
    prefersFull: boolean,
  ): Iterable<WorkerRecord> {
    const { size, acceleratorType } = request;
    const direction = prefersFast ? -1 : 1;
    const fullness = prefersFull ? 1 : -1;
    const readFree = ({ free, totalCapacity }: WorkerRecord): number =>
      calculateDominantShare(free, totalCapacity);
    return [...this.#workers]
      .filter(
        (worker) =>
          worker.canTake(size, acceleratorType) && coversResources(worker.readFree(request), size),
      )
      .sort(
        (left, right) =>
          Number(left.totalCapacity.accelerators > 0) -
            Number(right.totalCapacity.accelerators > 0) ||
          direction * (left.speed - right.speed) ||
          fullness * (readFree(left) - readFree(right)),
      );
  }
}
