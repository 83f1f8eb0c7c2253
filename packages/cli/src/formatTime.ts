/**
 * Formats a time.
 *
 * @param ms - milliseconds since the Unix epoch
 * @returns date and time in UTC
 */
export const formatTime = (ms: number): string => new Date(ms).toISOString();
