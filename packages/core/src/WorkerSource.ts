import type { Request } from '@toucanline/schema';
import type { WorkerRecord } from './WorkerRecord.js';

/** Source of the workers from which a placement chooses. */
export abstract class WorkerSource {
  /**
   * Lists the workers with enough free capacity for a task of a request. For work without accelerators, workers
   * with accelerators come last. The workers must not change during the iteration.
   *
   * @param request - the request
   * @param prefersFast - whether faster workers come first; slower ones otherwise
   * @param prefersFull - whether the fuller of equally fast workers come first; the emptier ones otherwise
   * @returns the workers in order of preference
   */
  public abstract listFitting(
    request: Request,
    prefersFast: boolean,
    prefersFull: boolean,
  ): Iterable<WorkerRecord>;
}
