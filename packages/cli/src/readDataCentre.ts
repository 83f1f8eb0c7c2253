import { validators, type DataCentreView } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads what a data centre holds.
 *
 * @param client - the environment
 * @param name - name of the data centre
 * @returns the description, or the failure
 */
export const readDataCentre = (
  client: EntryClient,
  name: string,
): Promise<Result<DataCentreView, ClientFailure>> =>
  client.send({
    method: 'GET',
    path: `/v1/datacentres/${encodeURIComponent(name)}`,
    mayRepeat: true,
    validator: validators.DataCentreView,
  });
