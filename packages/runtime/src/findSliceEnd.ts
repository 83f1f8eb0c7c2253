/** Marks the end of a request head. */
const headEnd = Buffer.from('\r\n\r\n');
/** Largest slice, in bytes. */
const maxSliceBytes = 4096;
/** The end of a head is not searched before this offset: a body full of line breaks would cost a call for each. */
const minSliceBytes = 64;

/**
 * Chooses how many bytes of a connection are parsed at once, so that they contain at most a few requests. The parser of
 * Node.js cannot be stopped within a buffer, and 64 KiB contain up to 3,000 requests of several KB of objects each.
 *
 * @param bytes - received bytes
 * @returns number of bytes to parse
 */
export const findSliceEnd = (bytes: Buffer): number => {
  const window = bytes.subarray(0, maxSliceBytes);
  const found = window.indexOf(headEnd, minSliceBytes - headEnd.length);
  return found < 0 ? window.length : found + headEnd.length;
};
