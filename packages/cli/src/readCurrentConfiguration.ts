import { validators, type Configuration } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the newest revision of the configuration of an environment.
 *
 * @param client - client of the environment
 * @returns the newest revision, undefined if there is none yet; or the failure
 */
export const readCurrentConfiguration = async (
  client: EntryClient,
): Promise<Result<Configuration | undefined, ClientFailure>> => {
  const response = await client.send({
    method: 'GET',
    path: '/v1/configuration',
    isRepeatable: true,
    validator: validators.Configuration,
  });
  if (response.isOk()) return ok(response.value);
  return response.error.problem?.title === 'unknownRevision' ? ok(undefined) : err(response.error);
};
