/**
 * Value of a job's key whose submission was refused although a write without an answer was sent: the write depends
 * on the key's absence, so it can no longer take effect.
 */
export const refusalMarker = '"refused"';
