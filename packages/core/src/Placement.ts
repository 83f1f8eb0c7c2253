import type { Request } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Policy that chooses workers for the tasks of a request. */
export abstract class Placement {
  /**
   * Chooses workers for some tasks of a request.
   *
   * @param request - the request
   * @param count - number of tasks to place
   * @param fleet - workers of the shard
   * @returns one worker per task that fits, the same one repeatedly if it takes several
   */
  public abstract place(request: Request, count: number, fleet: Fleet): readonly WorkerRecord[];
}
