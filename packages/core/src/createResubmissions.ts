import type { SubmitCall } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Creates the calls with which a previous owner submits requests to the next owner, as their entry would.
 * Non-idempotent requests that this owner started are left out: if the worker has already forgotten the task, no
 * report would prevent the next owner from starting the request again.
 *
 * @param context - identity of the ownership and source of time
 * @param records - requests that may be missing in the journal
 * @returns a call for each unfinished or cancelled request that is not certainly in the journal
 */
export const createResubmissions = (
  { shard, epoch, clock }: Pick<ShardContext, 'shard' | 'epoch' | 'clock'>,
  records: readonly RequestRecord[],
): readonly SubmitCall[] => {
  const now = clock.now();
  return records
    .filter(({ isDurable }) => !isDurable)
    .filter(({ isFinished, state }) => !isFinished || state === 'cancelled')
    .filter(({ stopPlan }) => stopPlan === undefined || stopPlan.next === 'cancelled')
    .filter(({ request, attempt }) => request.idempotent || attempt === 0)
    .filter(({ deadlineAt }) => Number.isFinite(deadlineAt))
    .map(({ request, arrivedAt, earliestStartAt, deadlineAt }) => {
      const heldMs = now - Math.min(arrivedAt, earliestStartAt);
      const remainingMs = deadlineAt - now;
      const held = Number.isFinite(heldMs) ? { heldMs } : {};
      return {
        call: 'submit',
        shard,
        request,
        remainingMs,
        detached: 'no',
        heldEpoch: epoch,
        ...held,
      };
    });
};
