import type { AcceptedEntry } from '@toucanline/schema';
import type { Clock } from './Clock.js';
import { periods } from './periods.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * Creates the journal entry of the acceptance of a request, which may be written long after it arrived.
 *
 * @param record - the request
 * @param clock - source of time
 * @returns the entry
 */
export const createAcceptedEntry = (record: RequestRecord, clock: Clock): AcceptedEntry => {
  const now = clock.now();
  const wallMs = clock.wallTime();
  // An adopted request of an entry that told no deadline is kept as long as its end.
  const leftMs = Number.isFinite(record.deadlineAt) ? record.deadlineAt - now : periods.retentionMs;
  // It may have been started since it arrived here, or by an earlier owner.
  const startableAt = Math.min(record.arrivedAt, record.earliestStartAt);
  return {
    entry: 'accepted',
    request: record.request,
    deadlineAtMs: wallMs + leftMs,
    ...(startableAt === -Infinity ? {} : { atMs: wallMs + startableAt - now }),
  };
};
