import type { Failure, WorkerRefusal } from '@toucanline/schema';
import type { Result } from 'neverthrow';

/**
 * Outcome of a command to a worker: the value; a refusal by the worker, in which case the command certainly had
 * no effect; or a failure, in which case the outcome is unknown.
 */
export type WorkerResponse<Value> = Result<Value, WorkerRefusal | Failure>;
