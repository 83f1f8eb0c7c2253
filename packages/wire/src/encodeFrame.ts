import { createFailure } from '@toucanline/core';
import type { Failure, Frame } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/**
 * Encodes a frame with its length prefix.
 *
 * @param frame - the frame
 * @returns the bytes to send; `bodyTooLarge` if the frame exceeds the size limit
 */
export const encodeFrame = (frame: Frame): Result<Buffer, Failure> => {
  // A heartbeat is encoded as an empty body: with many peers, encoded heartbeats would be a large part of the traffic.
  const body = frame.type === 'heartbeat' ? Buffer.alloc(0) : codec.encode(frame);
  if (body.length > frameLimits.maxFrameBytes) {
    return err(
      createFailure('bodyTooLarge', `frame of ${body.length} bytes exceeds the size limit`),
    );
  }
  const prefix = Buffer.allocUnsafe(frameLimits.prefixBytes);
  prefix.writeUInt32BE(body.length);
  return ok(Buffer.concat([prefix, body]));
};
