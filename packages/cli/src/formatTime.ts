/**
 * Formats a wall-clock time.
 *
 * @param timeMs - Unix time in milliseconds
 * @returns date and time in UTC, in ISO 8601
 */
export const formatTime = (timeMs: number): string => new Date(timeMs).toISOString();
