import { errorTable } from '@toucanline/core';
import type { Failure, Problem } from '@toucanline/schema';

/**
 * Creates the problem document (RFC 9457) for a failure.
 *
 * @param failure - the failure
 * @param requestId - identifier of the request that failed, if known
 * @returns the body of the response
 */
export const createProblem = (failure: Failure, requestId?: string): Problem => {
  const { status, ran, retry } = errorTable[failure.kind];
  return {
    type: `https://toucanline.invalid/problems/${failure.kind}`,
    title: failure.kind,
    status,
    detail: failure.detail,
    ran,
    retry,
    ...(requestId === undefined ? {} : { requestId }),
  };
};
