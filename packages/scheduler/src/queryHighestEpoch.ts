import type { WorkerGateway } from '@toucanline/core';
import type { Authority, HostRecord } from '@toucanline/schema';

/**
 * Asks workers for the highest epoch that they have accepted. Epoch 0 is below each epoch that an owner
 * uses, so every worker rejects it and the question changes nothing.
 *
 * @param gateway - access to the workers
 * @param shard - name of the shard
 * @param owner - name of this process
 * @param workers - known workers of the shard
 * @returns the highest epoch; undefined unless more than half of the workers answered
 */
export const queryHighestEpoch = async (
  gateway: WorkerGateway,
  shard: string,
  owner: string,
  workers: readonly HostRecord[],
): Promise<number | undefined> => {
  const authority: Authority = { shard, epoch: 0, owner, provisional: true, bootId: '' };
  const renewal = { authority, leaseUntil: 0, acknowledged: 0, full: false, waitMs: 0 };
  const answers = await Promise.all(
    workers.map(async ({ address }) => gateway.renewLease(address, renewal)),
  );
  const epochs = answers.flatMap((answer) =>
    answer.isErr() && 'refusal' in answer.error ? [answer.error.epoch] : [],
  );
  return epochs.length * 2 > workers.length ? Math.max(...epochs) : undefined;
};
