/** Bounds of a link, in bytes. */
export const frameLimits = Object.freeze({
  /** Length of the prefix that gives the length of the frame. */
  prefixBytes: 4,
  /** Largest frame. */
  maxFrameBytes: 4 * 1024 * 1024,
  /** Unsent bytes above which a link refuses further calls. */
  maxBufferedBytes: 8 * 1024 * 1024,
});
