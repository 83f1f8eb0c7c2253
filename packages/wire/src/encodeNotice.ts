import type { Failure, NoticeBody } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { encodeFrame } from './encodeFrame.js';

const encodedNotices = new WeakMap<NoticeBody, Result<Buffer, Failure>>();

/**
 * Encodes a notice. The same notice goes to many links, so its bytes are kept as long as it lives.
 *
 * @param body - the notice
 * @returns the bytes to send; `bodyTooLarge` if the frame exceeds the size bound
 */
export const encodeNotice = (body: NoticeBody): Result<Buffer, Failure> => {
  const encoded = encodedNotices.get(body) ?? encodeFrame({ type: 'notice', body });
  encodedNotices.set(body, encoded);
  return encoded;
};
