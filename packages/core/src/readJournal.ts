import { validators, type Failure, type JournalEntry } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { parseRecord } from './parseRecord.js';
import type { Store } from './Store.js';

/**
 * Reads the journal of a shard without taking it over or fencing its owner.
 *
 * @param store - the platform's store
 * @param shard - name of the shard
 * @returns the entries, oldest first; `storeConflict` if the owner deleted segments during the read; `internal` if
 * a record is invalid; other failures of the store
 */
export const readJournal = async (
  store: Store,
  shard: string,
): Promise<Result<readonly JournalEntry[], Failure>> => {
  const stored = await store.read(`journals/${shard}`);
  if (stored.isErr()) return err(stored.error);
  if (stored.value.value === undefined) return ok([]);
  const head = parseRecord(validators.JournalHead, stored.value.value);
  if (head.isErr()) return err(head.error);
  const values = await store.list(`journal/${shard}/`);
  if (values.isErr()) return err(values.error);
  const found = new Map<number, readonly JournalEntry[]>();
  for (const { value } of values.value) {
    const parsed = parseRecord(validators.JournalSegment, value ?? 'null');
    if (parsed.isErr()) return err(parsed.error);
    found.set(parsed.value.segment, parsed.value.entries);
  }
  const entries: JournalEntry[] = [];
  for (const segment of head.value.segments) {
    const part = found.get(segment);
    if (part === undefined) {
      return err(
        createFailure('storeConflict', 'a journal segment was deleted while the journal was read'),
      );
    }
    entries.push(...part);
  }
  return ok(entries);
};
