import { validators, type ConfigurationSummary } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads all revisions of the configuration of an environment.
 *
 * @param client - client of the environment
 * @returns the summaries of the revisions, newest first; or the failure
 */
export const readConfigurationHistory = async (
  client: EntryClient,
): Promise<Result<readonly ConfigurationSummary[], ClientFailure>> => {
  const response = await client.send({
    method: 'GET',
    path: '/v1/configuration/history',
    isRepeatable: true,
    validator: validators.ConfigurationHistory,
  });
  return response.map(({ revisions }) => revisions);
};
