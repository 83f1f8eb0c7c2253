/** Limits of a configuration document. */
export const documentLimits = Object.freeze({
  /** Maximum size as JSON, in bytes: the record with its metadata must fit into one store value of 1 MB. */
  maxEncodedBytes: 900_000,
});
