import type { Request } from '@toucanline/schema';
import type { WorkerRecord } from './WorkerRecord.js';
import type { WorkerSource } from './WorkerSource.js';

/** Placement policy: chooses workers for the tasks of a request. */
export abstract class Placement {
  /**
   * Chooses workers for some tasks of a request.
   *
   * @param request - the request
   * @param count - number of tasks to place
   * @param source - workers to choose from
   * @param occupied - workers that run other tasks of the request
   * @param avoided - ids of workers on which a task of the request failed; they are the last choice
   * @returns one worker for each task that fits; a worker is repeated if it takes several tasks
   */
  public abstract place(
    request: Request,
    count: number,
    source: WorkerSource,
    occupied: readonly WorkerRecord[],
    avoided: ReadonlySet<string>,
  ): readonly WorkerRecord[];
}
