import { validators, type Configuration } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the newest revision of an environment.
 *
 * @param client - the environment
 * @returns the revision; undefined if there is none yet
 */
export const readCurrentConfiguration = async (
  client: EntryClient,
): Promise<Result<Configuration | undefined, ClientFailure>> => {
  const answer = await client.send({
    method: 'GET',
    path: '/v1/configuration',
    mayRepeat: true,
    validator: validators.Configuration,
  });
  if (answer.isOk()) return ok(answer.value);
  return answer.error.problem?.title === 'unknownRevision' ? ok(undefined) : err(answer.error);
};
