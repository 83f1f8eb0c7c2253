/** Size limits of a link, in bytes. */
export const frameLimits = Object.freeze({
  /** Length of the prefix that contains the length of the frame body. */
  prefixBytes: 4,
  /** Largest body of a frame. */
  maxFrameBytes: 4 * 1024 * 1024,
  /** Number of unsent bytes above which a link refuses further calls. */
  maxBufferedBytes: 8 * 1024 * 1024,
});
