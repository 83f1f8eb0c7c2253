/** Bounds of a configuration document. */
export const documentLimits = Object.freeze({
  /** A record with its metadata has to fit into one store value of 1 MB. */
  maxEncodedBytes: 900_000,
});
