import type { ErrorKind } from '@toucanline/schema';

const suggestions: Readonly<Partial<Record<ErrorKind, string>>> = {
  unauthenticated: 'Check `key` of the environment in the settings file.',
  withdrawnKey: 'Ask an operator for a new key: toucanline key grant ID --role ROLE.',
  forbidden: 'Ask an operator for a key with the role: toucanline key grant ID --role ROLE.',
  invalidDocument:
    'Correct the errors listed above, then check with: toucanline config check FILE.',
  staleRevision:
    'Someone else made a change in the meantime. Run the command without --yes, review its output and try again.',
  notTried: 'Run the document in the trial environment first: toucanline config try FILE --yes.',
  storeUnavailable: 'Nothing was changed. Try again when the store is available.',
  timeout:
    'Check the result before you try again: toucanline config status, or toucanline status REQUEST.',
  notReady: 'Try again in a moment, or check the processes: toucanline config status.',
  noOwner: 'Check the owners of the shards: toucanline shards.',
  overloaded: 'Try again later, or check how many requests wait: toucanline shards.',
  unknownQueue: 'Compare the queues with those of your document: toucanline config diff FILE.',
  unknownRequest: 'Check the request ID.',
  recordMissing:
    'Check the request ID; records are kept for 10 minutes after the end. The request may have run: check the results of its tasks.',
  unknownWorker: 'List the workers: toucanline workers.',
  unknownKey: 'List the keys: toucanline key list.',
  unknownRevision: 'List the revisions: toucanline config history.',
  neverFits: 'Reduce the size of a task, or list the workers: toucanline workers.',
  overLimit: 'Reduce the size, or check the limit of the team: toucanline teams.',
  conflictingKey: 'Use another ID or idempotency key.',
};

/**
 * Suggests the next step after a failure.
 *
 * @param kind - kind of the failure
 * @returns the suggestion as plain text; a general one if the kind has none of its own
 */
export const suggestNextStep = (kind: ErrorKind): string =>
  suggestions[kind] ?? 'Check the processes: toucanline config status.';
