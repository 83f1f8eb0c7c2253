import { validators, type ProcessStatus, type SiteStatus } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the status of all processes. Every entry is asked, because an entry knows the schedulers but no
 * other entry.
 *
 * @param client - the environment
 * @returns the processes and what could not be reached; the failure if no entry answers
 */
export const readSiteStatus = async (
  client: EntryClient,
): Promise<Result<SiteStatus, ClientFailure>> => {
  const answers = await Promise.all(
    client.entries.map((entry) =>
      client.sendTo(entry, {
        method: 'GET',
        path: '/v1/status',
        mayRepeat: true,
        validator: validators.SiteStatus,
      }),
    ),
  );
  const processes = new Map<string, ProcessStatus>();
  const unreachable = new Set<string>();
  let failure: ClientFailure | undefined;
  for (const [index, answer] of answers.entries()) {
    if (answer.isErr()) {
      failure = answer.error;
      unreachable.add(client.entries[index] ?? '');
      continue;
    }
    for (const process of answer.value.processes) processes.set(process.process, process);
    for (const address of answer.value.unreachable) unreachable.add(address);
  }
  if (failure !== undefined && processes.size === 0) return err(failure);
  const sorted = [...processes.values()].sort(
    (left, right) =>
      left.dataCentre.localeCompare(right.dataCentre) || left.process.localeCompare(right.process),
  );
  return ok({ processes: sorted, unreachable: [...unreachable] });
};
