import type { Request } from '@toucanline/schema';
import type { WorkerRecord } from './WorkerRecord.js';
import type { WorkerSource } from './WorkerSource.js';

/** Policy that chooses workers for the tasks of a request. */
export abstract class Placement {
  /**
   * Chooses workers for some tasks of a request.
   *
   * @param request - the request
   * @param count - number of tasks to place
   * @param source - workers to choose from
   * @param occupied - workers that run other tasks of the request
   * @param avoided - workers on which a task of the request failed; they are the last choice
   * @returns one worker per task that fits, the same one repeatedly if it takes several
   */
  public abstract place(
    request: Request,
    count: number,
    source: WorkerSource,
    occupied: readonly WorkerRecord[],
    avoided: ReadonlySet<string>,
  ): readonly WorkerRecord[];
}
