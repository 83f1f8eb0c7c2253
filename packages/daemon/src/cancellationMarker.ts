/**
 * Value written to the key of a job that was cancelled while it was not stored. A submission of the job that is pending,
 * or is repeated later, can no longer take effect.
 */
export const cancellationMarker = '"cancelled"';
