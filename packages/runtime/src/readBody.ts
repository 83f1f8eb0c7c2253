import type { IncomingMessage } from 'node:http';
import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { BodyBuffer } from './BodyBuffer.js';
import { GuardedConnection } from './GuardedConnection.js';

/** Suggested delay before a request is repeated that found no memory, in seconds. */
const retryAfterSeconds = 1;

/**
 * Reads the body of an HTTP request. If the body is refused, the rest is not read, and the connection is closed after
 * the response.
 *
 * @param request - the HTTP request
 * @param maxBytes - largest body, in bytes
 * @returns the body as text; `bodyTooLarge` if it exceeds the limit; `overloaded` if the budget of the process for
 * received bytes is used up; `linkLost` if the caller closed the connection
 */
export const readBody = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, Failure>> =>
  new Promise((resolve) => {
    const connection = GuardedConnection.find(request.socket);
    const body = new BodyBuffer(
      maxBytes,
      (bytes) => connection?.reserveBody(request, bytes) ?? true,
    );
    const refuse = (reason: 'bodyTooLarge' | 'receivedBytes'): void => {
      request.off('data', receive);
      request.pause();
      connection?.closeAfter(request, reason);
      const failure =
        reason === 'bodyTooLarge'
          ? createFailure('bodyTooLarge', `the body exceeds the limit of ${maxBytes} bytes`)
          : createFailure('overloaded', 'too many requests are being received', retryAfterSeconds);
      resolve(err(failure));
    };
    const receive = (chunk: Buffer): void => {
      const outcome = body.append(chunk);
      if (outcome !== 'stored') refuse(outcome === 'tooLarge' ? 'bodyTooLarge' : 'receivedBytes');
    };
    const fail = (): void => {
      resolve(err(createFailure('linkLost', 'the caller closed the connection')));
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      refuse('bodyTooLarge');
      return;
    }
    // The connection may have been closed before this call, and then there is no further event.
    if (request.destroyed && !request.complete) {
      fail();
      return;
    }
    request.on('data', receive);
    request.on('end', () => {
      resolve(ok(body.text));
    });
    request.on('error', fail);
    request.on('close', fail);
  });
