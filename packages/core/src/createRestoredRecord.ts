import type { HeldRequest } from '@toucanline/schema';
import { RequestRecord } from './RequestRecord.js';

/**
 * Creates the record of a request from the snapshot of a previous owner.
 *
 * @param held - request in the snapshot
 * @param now - monotonic time in milliseconds
 * @returns the record; finished if the snapshot has the completion of the request
 */
export const createRestoredRecord = (
  { request, remainingMs, attempt, retries, view }: HeldRequest,
  now: number,
): RequestRecord => {
  const record = new RequestRecord(request, now, now + (remainingMs ?? Infinity));
  record.restoreCounters(attempt, retries);
  if (view !== undefined) record.restore(view, now);
  return record;
};
