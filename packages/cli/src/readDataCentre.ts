import { validators, type DataCentreView } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the shards, open work and declaration of a data centre.
 *
 * @param client - client of the environment
 * @param name - name of the data centre
 * @returns the view of the data centre, or the failure
 */
export const readDataCentre = (
  client: EntryClient,
  name: string,
): Promise<Result<DataCentreView, ClientFailure>> =>
  client.send({
    method: 'GET',
    path: `/v1/datacentres/${encodeURIComponent(name)}`,
    isRepeatable: true,
    validator: validators.DataCentreView,
  });
