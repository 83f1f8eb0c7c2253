import type { Event } from '@toucanline/schema';

/** Maximum JSON length of the events in one message, in UTF-16 code units; a frame holds 4 MiB. */
const maxJsonLength = 3_000_000;

/**
 * Truncates a list of events to the newest ones that fit into one message.
 *
 * @param events - events, oldest first
 * @returns the newest events, in the same order
 */
export const truncateEvents = (events: readonly Event[]): readonly Event[] => {
  let length = 0;
  let first = events.length;
  while (first > 0) {
    length += JSON.stringify(events[first - 1]).length;
    if (length > maxJsonLength) break;
    first -= 1;
  }
  return events.slice(first);
};
