import { validators, type ConfigurationSummary } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads all revisions of an environment.
 *
 * @param client - the environment
 * @returns the revisions, newest first
 */
export const readConfigurationHistory = async (
  client: EntryClient,
): Promise<Result<readonly ConfigurationSummary[], ClientFailure>> => {
  const answer = await client.send({
    method: 'GET',
    path: '/v1/configuration/history',
    mayRepeat: true,
    validator: validators.ConfigurationHistory,
  });
  return answer.map(({ revisions }) => revisions);
};
