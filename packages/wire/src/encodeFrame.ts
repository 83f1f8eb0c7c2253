import type { Frame } from '@toucanline/schema';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/**
 * Encodes a frame with its length prefix.
 *
 * @param frame - the frame
 * @returns the bytes to send
 * @throws RangeError if the frame exceeds the size bound
 */
export const encodeFrame = (frame: Frame): Buffer => {
  const body = codec.encode(frame);
  if (body.length > frameLimits.maxFrameBytes) {
    throw new RangeError(`frame of ${body.length} bytes exceeds the bound`);
  }
  const prefix = Buffer.allocUnsafe(frameLimits.prefixBytes);
  prefix.writeUInt32BE(body.length);
  return Buffer.concat([prefix, body]);
};
