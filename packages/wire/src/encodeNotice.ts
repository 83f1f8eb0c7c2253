import type { Failure, NoticeBody } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { encodeFrame } from './encodeFrame.js';

const encodedNotices = new WeakMap<NoticeBody, Result<Buffer, Failure>>();

/**
 * Encodes a notice. The same notice is sent on many links, so its bytes are cached for the lifetime of the notice.
 *
 * @param body - the notice
 * @returns the bytes to send; `bodyTooLarge` if the frame exceeds the size limit
 */
export const encodeNotice = (body: NoticeBody): Result<Buffer, Failure> => {
  const encoded = encodedNotices.get(body) ?? encodeFrame({ type: 'notice', body });
  encodedNotices.set(body, encoded);
  return encoded;
};
