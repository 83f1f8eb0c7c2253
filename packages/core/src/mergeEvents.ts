import type { Event } from '@toucanline/schema';
import { compareStamps } from './compareStamps.js';

/**
 * Merges the events of several responses and removes duplicates. An event from its own process is preferred to a
 * copy kept by a peer, because details are truncated in copies.
 *
 * @param lists - events of each response
 * @returns the events in the order of their stamps
 */
export const mergeEvents = (lists: readonly (readonly Event[])[]): readonly Event[] => {
  const events = new Map<string, Event>();
  for (const event of lists.flat()) {
    const key = `${event.process}|${event.stamp.wallMs}|${event.stamp.counter}`;
    if (event.keptBy === undefined || !events.has(key)) events.set(key, event);
  }
  return [...events.values()].sort(compareStamps);
};
