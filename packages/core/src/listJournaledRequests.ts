import type { JournalEntry } from '@toucanline/schema';
import type { JournaledRequest } from './JournaledRequest.js';
import { needsIntent } from './needsIntent.js';

/**
 * Lists the requests of a journal with their state.
 *
 * @param entries - entries, oldest first
 * @returns the accepted requests by identifier, in the order of their acceptance
 */
export const listJournaledRequests = (
  entries: readonly JournalEntry[],
): ReadonlyMap<string, JournaledRequest> => {
  const requests = new Map<string, JournaledRequest>();
  for (const entry of entries) {
    if (entry.entry === 'accepted') {
      const { request, deadlineAtMs } = entry;
      const mayHaveStarted = !request.idempotent && !needsIntent(request);
      requests.set(request.id, { request, deadlineAtMs, mayHaveStarted, isFinished: false });
      continue;
    }
    const id = entry.entry === 'finished' ? entry.view.id : entry.requestId;
    const known = requests.get(id);
    if (known === undefined) continue;
    const changed = entry.entry === 'intent' ? { mayHaveStarted: true } : { isFinished: true };
    requests.set(id, { ...known, ...changed });
  }
  return requests;
};
