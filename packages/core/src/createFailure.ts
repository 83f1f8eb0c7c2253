import type { ErrorKind, Failure } from '@toucanline/schema';

/** Maximum length of a detail by the schema, in UTF-16 code units. */
const maxDetailLength = 4096;

/**
 * Creates a failure.
 *
 * @param kind - error kind
 * @param detail - explanation in one sentence; truncated to the maximum length of the schema
 * @param retryAfterSeconds - suggested delay before a retry, in seconds
 * @returns the failure
 */
export const createFailure = (
  kind: ErrorKind,
  detail: string,
  retryAfterSeconds?: number,
): Failure => ({
  kind,
  detail: detail.slice(0, maxDetailLength),
  ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
});
