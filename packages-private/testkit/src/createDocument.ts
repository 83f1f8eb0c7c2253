import type { Document } from '@toucanline/schema';
import { stringify } from 'smol-toml';

const defaultQueues: Document['queues'] = {
  services: { kind: 'service', idempotent: true },
  renders: { kind: 'batch', idempotent: true },
  rosters: { kind: 'batch', idempotent: false },
};

/**
 * Creates the text of a configuration document with the shards s1, s2 and so on, one per data centre, and
 * queues for services, idempotent work (renders) and work that is not idempotent (rosters).
 *
 * @param dataCentres - names of the data centres
 * @param teams - team sections by name
 * @param changes - further sections, and queues that replace the default ones of the same name
 * @returns text of the document
 */
export const createDocument = (
  dataCentres: readonly string[],
  teams: Document['teams'],
  changes: Partial<Pick<Document, 'queues' | 'placement' | 'workers'>> = {},
): string =>
  stringify({
    schema: 1,
    ...changes,
    shards: Object.fromEntries(
      dataCentres.map((dataCentre, index) => [`s${index + 1}`, { dataCentre }]),
    ),
    teams,
    queues: { ...defaultQueues, ...changes.queues },
  });
