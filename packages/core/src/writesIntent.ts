import type { Request } from '@toucanline/schema';

/**
 * Checks whether an intent is in the journal before a task of a request starts. Without one, nothing but the
 * reports of the workers tells whether the request started.
 *
 * @param request - the request
 * @returns true if it must not run twice and outlasts its entry
 */
export const writesIntent = ({ idempotent, detached, idempotencyKey }: Request): boolean =>
  !idempotent && (detached || idempotencyKey !== undefined);
