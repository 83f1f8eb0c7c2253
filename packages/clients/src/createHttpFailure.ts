import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';

/** Errors that prove that the request was not processed. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const readErrorCode = (error: unknown): string => {
  if (error instanceof Error && 'code' in error) return String(error.code);
  return error instanceof Error ? error.message : 'unknown error';
};

/**
 * Creates the failure of an HTTP exchange without a complete response.
 *
 * @param url - absolute URL
 * @param error - what the client threw
 * @returns `storeUnavailable` if nothing was processed; `timeout` if that is unknown
 */
export const createHttpFailure = (url: string, error: unknown): Failure => {
  const code = readErrorCode(error);
  const kind = connectErrorCodes.has(code) ? 'storeUnavailable' : 'timeout';
  return createFailure(kind, `${url}: ${code}`);
};
