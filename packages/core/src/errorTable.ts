import type { ErrorKind } from '@toucanline/schema';
import type { ErrorResponse } from './ErrorResponse.js';

const answer = (
  status: number,
  ran: ErrorResponse['ran'],
  retry: boolean,
  meaning: string,
): ErrorResponse => ({ status, ran, retry, meaning });

/** Response for each error kind. No other code decides what a caller gets for an error kind. */
export const errorTable: Readonly<Record<ErrorKind, ErrorResponse>> = {
  malformedRequest: answer(
    400,
    'no',
    false,
    'The request body, a header or a parameter is invalid.',
  ),
  bodyTooLarge: answer(413, 'no', false, 'The request body exceeds the size limit.'),
  unauthenticated: answer(401, 'no', false, 'The key is missing or unknown.'),
  withdrawnKey: answer(401, 'no', false, 'The key was withdrawn.'),
  forbidden: answer(403, 'no', false, 'The key does not permit this operation.'),
  unknownQueue: answer(404, 'no', false, 'The configuration has no such queue.'),
  unknownRequest: answer(404, 'unknown', false, 'No request with this id is known.'),
  recordMissing: answer(
    410,
    'unknown',
    false,
    'There is no record of the request: it was removed or never existed.',
  ),
  unknownShard: answer(404, 'no', false, 'The configuration has no such shard.'),
  unknownWorker: answer(404, 'no', false, 'No worker with this name is known.'),
  unknownKey: answer(404, 'no', false, 'No key with this id was granted.'),
  unknownRevision: answer(404, 'no', false, 'The history has no such revision.'),
  conflictingKey: answer(
    422,
    'no',
    false,
    'The idempotency key was already used with a different body.',
  ),
  neverFits: answer(422, 'no', false, 'No worker is large enough for a task of this request.'),
  overLimit: answer(422, 'no', false, 'The request alone exceeds the limit of its team.'),
  deadlinePassed: answer(504, 'no', true, 'The deadline passed before the request started.'),
  overloaded: answer(
    429,
    'no',
    true,
    'Too many requests are open or waiting, or the wait would be too long for the deadline.',
  ),
  notReady: answer(503, 'no', true, 'The process has no configuration yet or is shutting down.'),
  notOwner: answer(503, 'no', true, 'The scheduler does not own the shard.'),
  noOwner: answer(503, 'no', true, 'No owner of a suitable shard can be reached.'),
  storeUnavailable: answer(503, 'no', true, 'The store is unavailable and the operation needs it.'),
  storeConflict: answer(409, 'no', true, 'Another writer changed the record first.'),
  linkLost: answer(502, 'unknown', true, 'The connection to the scheduler was lost.'),
  timeout: answer(504, 'unknown', true, 'The operation did not finish in time.'),
  workerRefused: answer(503, 'no', true, 'The worker rejected the command.'),
  cancelled: answer(409, 'no', false, 'The request was cancelled before it started.'),
  outcomeUnknown: answer(
    502,
    'unknown',
    false,
    'It is not known whether the request ran, and this cannot be determined.',
  ),
  invalidDocument: answer(422, 'no', false, 'The configuration document is invalid.'),
  invalidSettings: answer(500, 'no', false, 'A settings file is invalid.'),
  notTried: answer(409, 'no', false, 'The document was never in effect in the trial environment.'),
  staleRevision: answer(409, 'no', true, 'The configuration changed since it was read.'),
  internal: answer(
    500,
    'unknown',
    false,
    'An invariant was violated or an unexpected error occurred.',
  ),
};
