import type { ErrorKind, Failure } from '@toucanline/schema';

/** Longest detail that the schema admits. */
const maxDetailLength = 4096;

/**
 * Creates a failure.
 *
 * @param kind - error kind
 * @param detail - one sentence for the reader, cut to the length that the schema admits
 * @param retryAfterSeconds - when a retry makes sense, in seconds
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
