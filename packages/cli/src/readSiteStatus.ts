import { validators, type ProcessStatus, type SiteStatus } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the status of all processes. Sends the call to every entry, since an entry knows the schedulers but not
 * the other entries.
 *
 * @param client - client of the environment
 * @returns the processes by data centre and name, and the unreachable addresses; or the failure if no entry
 * responded
 */
export const readSiteStatus = async (
  client: EntryClient,
): Promise<Result<SiteStatus, ClientFailure>> => {
  const responses = await Promise.all(
    client.entries.map((entry) =>
      client.sendTo(entry, {
        method: 'GET',
        path: '/v1/status',
        isRepeatable: true,
        validator: validators.SiteStatus,
      }),
    ),
  );
  const processes = new Map<string, ProcessStatus>();
  const unreachable = new Set<string>();
  let failure: ClientFailure | undefined;
  for (const [index, response] of responses.entries()) {
    if (response.isErr()) {
      failure = response.error;
      unreachable.add(client.entries[index] ?? '');
      continue;
    }
    for (const process of response.value.processes) processes.set(process.process, process);
    for (const address of response.value.unreachable) unreachable.add(address);
  }
  if (failure !== undefined && processes.size === 0) return err(failure);
  const sorted = [...processes.values()].sort(
    (left, right) =>
      left.dataCentre.localeCompare(right.dataCentre) || left.process.localeCompare(right.process),
  );
  return ok({ processes: sorted, unreachable: [...unreachable] });
};
