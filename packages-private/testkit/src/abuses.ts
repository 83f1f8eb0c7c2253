import type { Frame, Hello } from '@toucanline/schema';
import { encodeFrame } from '@toucanline/wire';
import type { Abuse } from './Abuse.js';

/** Size of one write, in bytes: small chunks and requests are sent together, as a fast client does. */
const writeBytes = 64 * 1024;

const head = (method: string, path: string, ...headers: readonly string[]): Buffer =>
  Buffer.from(
    [`${method} ${path} HTTP/1.1`, 'host: site.example', ...headers, '', ''].join('\r\n'),
  );

const none = Buffer.alloc(0);

/** Fills whole writes with copies of a short text. */
const repeat = (text: string, count: number): Pick<Abuse, 'repeated' | 'repeats'> => {
  const perWrite = Math.min(count, Math.max(1, Math.floor(writeBytes / text.length)));
  return { repeated: Buffer.from(text.repeat(perWrite)), repeats: Math.ceil(count / perWrite) };
};

/** Kinds of abusive connections. Each stays open after its last byte. */
export const abuses = {
  /**
   * A chunked body that never ends.
   *
   * @param path - path of the request
   * @param chunkBytes - size of a chunk
   * @param totalBytes - size of all chunks that are sent
   * @returns the abuse
   */
  unfinishedChunks: (path: string, chunkBytes: number, totalBytes: number): Abuse => ({
    first: head('POST', path, 'transfer-encoding: chunked'),
    ...repeat(
      `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`,
      Math.floor(totalBytes / chunkBytes),
    ),
    isUnread: false,
  }),
  /**
   * A whole body in one-byte chunks.
   *
   * @param path - path of the request
   * @param totalBytes - size of all chunks together
   * @returns the abuse
   */
  smallChunks: (path: string, totalBytes: number): Abuse => ({
    ...abuses.unfinishedChunks(path, 1, totalBytes),
    last: Buffer.from('0\r\n\r\n'),
  }),
  /**
   * A body with a declared length that it never reaches.
   *
   * @param path - path of the request
   * @param declaredBytes - declared length
   * @param sentBytes - number of bytes that are sent
   * @returns the abuse
   */
  unfinishedLength: (path: string, declaredBytes: number, sentBytes: number): Abuse => ({
    first: head('POST', path, `content-length: ${declaredBytes}`),
    ...repeat('x', sentBytes),
    isUnread: false,
  }),
  /**
   * Many requests at once whose responses are not read.
   *
   * @param path - path of the requests
   * @param count - number of requests
   * @returns the abuse
   */
  unreadResponses: (path: string, count: number): Abuse => ({
    first: none,
    ...repeat(head('GET', path).toString(), count),
    isUnread: true,
  }),
  /**
   * The head of a request that never ends.
   *
   * @param path - path of the request
   * @param headerCount - number of headers that are sent
   * @returns the abuse
   */
  endlessHead: (path: string, headerCount: number): Abuse => ({
    first: head('GET', path).subarray(0, -2),
    ...repeat('x-filler: filler\r\n', headerCount),
    isUnread: false,
  }),
  /** A connection that sends nothing. */
  idle: { first: none, repeated: none, repeats: 0, isUnread: false },
  /**
   * A frame of a link that is announced with the largest size and never ends.
   *
   * @param sentBytes - number of bytes that are sent
   * @returns the abuse
   */
  unfinishedFrame: (sentBytes: number): Abuse => ({
    first: Buffer.from([0, 0x40, 0, 0]),
    ...repeat('x', sentBytes),
    isUnread: false,
  }),
  /**
   * Frames of a link without a body, and no hello.
   *
   * @param count - number of frames
   * @returns the abuse
   */
  emptyFrames: (count: number): Abuse => ({
    first: none,
    ...repeat('\0\0\0\0', count),
    isUnread: false,
  }),
  /**
   * Small calls over a link after a valid hello.
   *
   * @param hello - the hello
   * @param count - number of calls
   * @returns the abuse
   */
  smallCalls: (hello: Hello, count: number): Abuse => {
    const call: Frame = { type: 'call', id: 1, body: { call: 'jobState', id: 'a' } };
    const encoded = encodeFrame(call)._unsafeUnwrap();
    const perWrite = Math.floor(writeBytes / encoded.length);
    return {
      first: encodeFrame(hello)._unsafeUnwrap(),
      repeated: Buffer.concat(Array.from({ length: perWrite }, () => encoded)),
      repeats: Math.ceil(count / perWrite),
      isUnread: false,
    };
  },
} as const;
