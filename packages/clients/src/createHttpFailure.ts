import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';

/** Error codes of a failed attempt to connect, which prove that the request was not processed. */
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
 * Creates the failure of an HTTP request without a complete response.
 *
 * @param url - absolute URL of the request
 * @param error - value that the HTTP client threw
 * @returns `storeUnavailable` if the request was not processed; `timeout` if that is unknown
 */
export const createHttpFailure = (url: string, error: unknown): Failure => {
  const code = readErrorCode(error);
  const kind = connectErrorCodes.has(code) ? 'storeUnavailable' : 'timeout';
  return createFailure(kind, `${url}: ${code}`);
};
