/**
 * Value written to the key of a job whose submission was refused while an earlier write had no answer. That write
 * depends on the absence of the key, so it can no longer take effect.
 */
export const refusalMarker = '"refused"';
