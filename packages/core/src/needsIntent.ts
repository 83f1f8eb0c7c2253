import type { Request } from '@toucanline/schema';

/**
 * Checks whether a start of a request is written to the journal before it is sent. A non-idempotent request
 * without that may have run although the journal has no intent.
 *
 * @param request - the request
 * @returns true if it has an intent before each start
 */
export const needsIntent = ({ idempotent, detached, idempotencyKey }: Request): boolean =>
  !idempotent && (detached || idempotencyKey !== undefined);
