import type { EventName } from '@toucanline/schema';

/**
 * Events that end a request: the only ones that peers keep whose rate grows with the load. `requestAnswered` is
 * not among them, because it would double the traffic and tells nothing that the owner's event does not.
 */
export const requestEndEvents: ReadonlySet<EventName> = new Set([
  'requestFinished',
  'requestRefused',
]);
