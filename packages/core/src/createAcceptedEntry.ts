import type { AcceptedEntry } from '@toucanline/schema';
import type { Clock } from './Clock.js';
import { periods } from './periods.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * Creates the journal entry for the acceptance of a request. It may be written long after the request arrived.
 *
 * @param record - the request
 * @param clock - source of time
 * @returns the entry
 */
export const createAcceptedEntry = (record: RequestRecord, clock: Clock): AcceptedEntry => {
  const now = clock.now();
  const wallMs = clock.wallTime();
  // An adopted request whose deadline is unknown is kept for the retention time.
  const remainingMs = Number.isFinite(record.deadlineAt)
    ? record.deadlineAt - now
    : periods.retentionMs;
  // The request may have been started since it arrived, or earlier by a previous owner.
  const earliestStartAt = Math.min(record.arrivedAt, record.earliestStartAt);
  return {
    entry: 'accepted',
    request: record.request,
    deadlineAtMs: wallMs + remainingMs,
    ...(earliestStartAt === -Infinity ? {} : { atMs: wallMs + earliestStartAt - now }),
  };
};
