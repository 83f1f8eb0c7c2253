import type { Request } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import { Placement } from './Placement.js';
import { subtractResources } from './subtractResources.js';
import type { WorkerRecord } from './WorkerRecord.js';
import type { WorkerSource } from './WorkerSource.js';

/**
 * Packs batch tasks (best fit): the fullest worker with enough free capacity comes first. Urgent
 * work prefers faster workers and other work slower ones, so that faster workers stay free for
 * urgent work and services.
 */
export class BatchPlacement extends Placement {
  /** {@inheritDoc Placement.place} */
  public override place(
    request: Request,
    count: number,
    source: WorkerSource,
    _occupied: readonly WorkerRecord[],
    avoided: ReadonlySet<string>,
  ): readonly WorkerRecord[] {
    const { size } = request;
    const chosen: WorkerRecord[] = [];
    const fill = (worker: WorkerRecord): boolean => {
      let free = worker.readFree(request);
      while (chosen.length < count && coversResources(free, size)) {
        chosen.push(worker);
        free = subtractResources(free, size);
      }
      return chosen.length >= count;
    };
    const postponed: WorkerRecord[] = [];
    for (const worker of source.listFitting(request, request.urgent, true)) {
      if (avoided.has(worker.id)) postponed.push(worker);
      else if (fill(worker)) return chosen;
    }
    for (const worker of postponed) if (fill(worker)) break;
    return chosen;
  }
}
