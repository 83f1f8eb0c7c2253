import type { WorkerGateway } from '@toucanline/core';
import type { Authority, HostRecord } from '@toucanline/schema';

/**
 * Queries the workers of a shard for the highest epoch that they have accepted. Epoch 0 is below each epoch of an
 * owner, so every worker rejects it and the query changes nothing.
 *
 * @param gateway - access to the workers
 * @param shard - name of the shard
 * @param owner - name of this process
 * @param workers - known workers of the shard
 * @returns highest epoch; undefined unless more than half of the workers rejected the query
 */
export const queryHighestEpoch = async (
  gateway: WorkerGateway,
  shard: string,
  owner: string,
  workers: readonly HostRecord[],
): Promise<number | undefined> => {
  const authority: Authority = { shard, epoch: 0, owner, provisional: true, bootId: '' };
  const renewal = { authority, leaseUntil: 0, acknowledged: 0, full: false, waitMs: 0 };
  const responses = await Promise.all(
    workers.map(async ({ address }) => gateway.renewLease(address, renewal)),
  );
  const epochs = responses.flatMap((response) =>
    response.isErr() && 'refusal' in response.error ? [response.error.epoch] : [],
  );
  return epochs.length * 2 > workers.length ? Math.max(...epochs) : undefined;
};
