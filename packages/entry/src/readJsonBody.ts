import type { IncomingMessage } from 'node:http';
import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { readBody } from '@toucanline/runtime/readBody';

/**
 * Reads the JSON body of a request.
 *
 * @param request - the HTTP request
 * @param maxBytes - largest body, in bytes
 * @returns the value, not validated; `bodyTooLarge` if the body exceeds the limit; `malformedRequest` if it is not JSON
 */
export const readJsonBody = async (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, Failure>> =>
  (await readBody(request, maxBytes)).andThen((text): Result<unknown, Failure> => {
    try {
      return ok(JSON.parse(text));
    } catch {
      return err(createFailure('malformedRequest', 'the body is not JSON'));
    }
  });
