import type { HeldRequest } from '@toucanline/schema';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Describes the finished requests of a shard, which no longer change. They can be transferred to a
 * peer before the owner stops acting; after a busy time they are most of the state.
 *
 * @param context - state and services that the components of the shard share
 * @param table - requests of the shard
 * @returns the requests one by one; the table may change during the iteration
 */
export function* describeFinishedRequests(
  { clock }: ShardContext,
  table: RequestTable,
): Generator<HeldRequest> {
  for (const record of table.list()) {
    if (!record.isFinished) continue;
    const { request, attempt, retries, deadlineAt } = record;
    const view = record.describe();
    // The completion is not yet in the journal.
    if (view.state === 'stopping') continue;
    const isBounded = Number.isFinite(deadlineAt);
    const bound = isBounded ? { remainingMs: deadlineAt - clock.now() } : {};
    yield { request, attempt, retries, uncertain: false, view, ...bound };
  }
}
