import type { SubmitCall } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Creates the calls by which a former owner hands requests in to the next one, as their entry would. A
 * non-idempotent request that this owner started is left out: its worker may have forgotten the task already,
 * and then no report of a worker would keep the next owner from a second start.
 *
 * @param context - what the parts of the shard share
 * @param records - the requests
 * @returns a call for each request that is open or cancelled and that the journal does not certainly have
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
