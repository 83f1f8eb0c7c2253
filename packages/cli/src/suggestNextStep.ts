import type { ErrorKind } from '@toucanline/schema';

const suggestions: Readonly<Partial<Record<ErrorKind, string>>> = {
  unauthenticated: 'Check `key` of the environment in the settings file.',
  withdrawnKey: 'Ask an operator for a new key: toucanline key grant ID --role ROLE.',
  forbidden: 'Ask an operator for a key with the role: toucanline key grant ID --role ROLE.',
  invalidDocument: 'Correct the lines above and run: toucanline config check FILE.',
  staleRevision:
    'Somebody else was first: run the command without --yes, read what it shows, and decide again.',
  notTried: 'Run the document in the trial environment first: toucanline config try FILE --yes.',
  storeUnavailable: 'Nothing was changed. Try again when the store answers.',
  timeout: 'Look at the result before you repeat: toucanline config status, or status REQUEST.',
  notReady: 'Try again, or look at the processes: toucanline config status.',
  noOwner: 'Look at the owners: toucanline shards.',
  overloaded: 'Try again later, or look at the queues: toucanline shards.',
  unknownQueue: 'Look at the queues of the document: toucanline config diff FILE.',
  unknownRequest: 'Check the identifier.',
  recordMissing:
    'Check the identifier; records are kept for 10 minutes after the end. It may have run: look at the results of its tasks.',
  unknownWorker: 'Look at the workers: toucanline workers.',
  unknownKey: 'Look at the keys: toucanline key list.',
  unknownRevision: 'Look at the revisions: toucanline config history.',
  neverFits: 'Reduce the size of a task, or look at the workers: toucanline workers.',
  overLimit: 'Reduce the size, or look at the limit: toucanline teams.',
  conflictingKey: 'Use another identifier or idempotency key.',
};

/**
 * Suggests what to do about a failure.
 *
 * @param kind - kind of the failure
 * @returns one sentence
 */
export const suggestNextStep = (kind: ErrorKind): string =>
  suggestions[kind] ?? 'Look at the processes: toucanline config status.';
