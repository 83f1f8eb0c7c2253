import type { IncomingMessage } from 'node:http';
import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

/**
 * Reads the body of an HTTP request.
 *
 * @param request - the HTTP request
 * @param maxBytes - largest body, in bytes
 * @returns the body as text; `bodyTooLarge` if it exceeds the limit; `linkLost` if the caller closed the connection
 */
export const readBody = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, Failure>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () => {
      if (length <= maxBytes) resolve(ok(Buffer.concat(chunks).toString('utf8')));
      else
        resolve(
          err(createFailure('bodyTooLarge', `the body exceeds the limit of ${maxBytes} bytes`)),
        );
    });
    request.on('error', () => {
      resolve(err(createFailure('linkLost', 'the caller closed the connection')));
    });
  });
