import type { EventName } from '@toucanline/schema';

/**
 * Events at the end of a request. Among the events that are copied to peers, only their rate grows
 * with the load. `requestAnswered` is not included: it would double the traffic and contains
 * nothing that the event of the owner does not.
 */
export const requestEndEvents: ReadonlySet<EventName> = new Set([
  'requestFinished',
  'requestRefused',
]);
