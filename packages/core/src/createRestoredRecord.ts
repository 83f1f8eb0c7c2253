import type { HeldRequest } from '@toucanline/schema';
import { RequestRecord } from './RequestRecord.js';

/**
 * Creates the record of a request from the snapshot of a former owner.
 *
 * @param held - the request in the snapshot
 * @param now - local monotonic time in milliseconds
 * @returns the record; finished if the snapshot has its end
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
