import type { Request } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import { Placement } from './Placement.js';
import { subtractResources } from './subtractResources.js';
import type { WorkerRecord } from './WorkerRecord.js';
import type { WorkerSource } from './WorkerSource.js';

/**
 * Packs batch tasks tightly: the fullest worker that has room comes first. Urgent work takes faster
 * workers first, other work slower ones, so that faster workers are free for urgent work and services.
 */
export class BatchPlacement extends Placement {
  /** {@inheritDoc Placement.place} */
  public override place(
    request: Request,
    count: number,
    source: WorkerSource,
  ): readonly WorkerRecord[] {
    const { size, urgent } = request;
    const chosen: WorkerRecord[] = [];
    for (const worker of source.listFitting(request, urgent, true)) {
      let free = worker.free;
      while (chosen.length < count && coversResources(free, size)) {
        chosen.push(worker);
        free = subtractResources(free, size);
      }
      if (chosen.length >= count) break;
    }
    return chosen;
  }
}
