import type { JournalEntry } from '@toucanline/schema';
import { periods } from './periods.js';

const readId = (entry: JournalEntry): string => {
  if (entry.entry === 'accepted') return entry.request.id;
  return entry.entry === 'finished' ? entry.view.id : entry.requestId;
};

/**
 * Selects the journal entries that a new owner still needs: all entries of unfinished requests, and the acceptance
 * and the completion of requests that finished within the retention time. An unfinished request is dropped if its
 * deadline passed more than a retention time ago, unless it is a service, which may run past its deadline.
 *
 * @param entries - all entries, oldest first
 * @param wallMs - wall-clock time in milliseconds since the Unix epoch
 * @returns the entries to keep, oldest first
 */
export const compactEntries = (
  entries: readonly JournalEntry[],
  wallMs: number,
): readonly JournalEntry[] => {
  const retainedSinceMs = wallMs - periods.retentionMs;
  const finished = new Set<string>();
  const dropped = new Set<string>();
  for (const entry of entries) {
    if (entry.entry === 'finished') {
      finished.add(entry.view.id);
      if (entry.atMs < retainedSinceMs) dropped.add(entry.view.id);
    }
  }
  for (const entry of entries) {
    if (entry.entry !== 'accepted' || finished.has(entry.request.id)) continue;
    const isExpired = entry.request.kind !== 'service' && entry.deadlineAtMs < retainedSinceMs;
    if (isExpired) dropped.add(entry.request.id);
  }
  return entries.filter((entry) => {
    const id = readId(entry);
    const isObsolete =
      (entry.entry === 'intent' || entry.entry === 'cancelled') && finished.has(id);
    return !dropped.has(id) && !isObsolete;
  });
};
