import type { HeldRequest } from '@toucanline/schema';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Describes the finished requests of a shard, which do not change any more, so that a peer can have them
 * before the owner stops to act. After a busy time they are most of the state.
 *
 * @param context - what the parts of the shard share
 * @param table - requests of the shard
 * @returns the requests one by one, also while the table changes
 */
export function* describeFinishedRequests(
  { clock }: ShardContext,
  table: RequestTable,
): Generator<HeldRequest> {
  for (const record of table.list()) {
    if (!record.isFinished) continue;
    const { request, attempt, retries, deadlineAt } = record;
    const view = record.describe();
    // The journal does not have its end yet.
    if (view.state === 'stopping') continue;
    const isBounded = Number.isFinite(deadlineAt);
    const bound = isBounded ? { remainingMs: deadlineAt - clock.now() } : {};
    yield { request, attempt, retries, uncertain: false, view, ...bound };
  }
}
