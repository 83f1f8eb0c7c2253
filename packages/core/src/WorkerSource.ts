import type { Request } from '@toucanline/schema';
import type { WorkerRecord } from './WorkerRecord.js';

/** Workers that a placement chooses from. */
export abstract class WorkerSource {
  /**
   * Lists workers with room for a task of a request. Workers with accelerators come last for work that
   * needs none. The workers must not change during the iteration.
   *
   * @param request - the request
   * @param prefersFast - whether faster workers come first; otherwise slower ones do
   * @param prefersFull - whether fuller workers of the same speed come first; otherwise emptier ones do
   * @returns the workers in the order of preference
   */
  public abstract listFitting(
    request: Request,
    prefersFast: boolean,
    prefersFull: boolean,
  ): Iterable<WorkerRecord>;
}
