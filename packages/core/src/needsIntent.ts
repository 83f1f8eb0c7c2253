import type { Request } from '@toucanline/schema';

/**
 * Checks whether an intent is written to the journal before each start of a request. A
 * non-idempotent request for which this is not done may have run although the journal contains no
 * intent.
 *
 * @param request - the request
 * @returns true if each start needs an intent
 */
export const needsIntent = ({ idempotent, detached, idempotencyKey }: Request): boolean =>
  !idempotent && (detached || idempotencyKey !== undefined);
