import type { Event } from '@toucanline/schema';
import { compareStamps } from './compareStamps.js';

/**
 * Merges the events of several answers. An event that came by two ways counts once; what its process told
 * itself goes before a copy that a peer kept, because copies are shortened.
 *
 * @param lists - events of each answer
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
