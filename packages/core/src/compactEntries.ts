import type { JournalEntry } from '@toucanline/schema';
import { periods } from './periods.js';

const readId = (entry: JournalEntry): string => {
  if (entry.entry === 'accepted') return entry.request.id;
  return entry.entry === 'finished' ? entry.view.id : entry.requestId;
};

/**
 * Selects the journal entries that a new owner still needs: those of unfinished requests, and the
 * acceptance and the end of requests that finished within the retention time. A request without an end
 * whose deadline passed more than a retention time ago is dropped too, unless it is a service, which may
 * run past its deadline.
 *
 * @param entries - all entries, oldest first
 * @param wallMs - wall time in milliseconds
 * @returns the entries to keep, oldest first
 */
export const compactEntries = (
  entries: readonly JournalEntry[],
  wallMs: number,
): readonly JournalEntry[] => {
  const oldest = wallMs - periods.retentionMs;
  const finished = new Set<string>();
  const dropped = new Set<string>();
  for (const entry of entries) {
    if (entry.entry === 'finished') {
      finished.add(entry.view.id);
      if (entry.atMs < oldest) dropped.add(entry.view.id);
    }
  }
  for (const entry of entries) {
    if (entry.entry !== 'accepted' || finished.has(entry.request.id)) continue;
    const isExpired = entry.request.kind !== 'service' && entry.deadlineAtMs < oldest;
    if (isExpired) dropped.add(entry.request.id);
  }
  return entries.filter((entry) => {
    const id = readId(entry);
    const isOver = (entry.entry === 'intent' || entry.entry === 'cancelled') && finished.has(id);
    return !dropped.has(id) && !isOver;
  });
};
