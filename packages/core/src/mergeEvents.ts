import type { Event } from '@toucanline/schema';
import { compareStamps } from './compareStamps.js';

/**
 * Merges the events of several answers. An event that came by two ways counts once.
 *
 * @param lists - events of each answer
 * @returns the events in the order of their stamps
 */
export const mergeEvents = (lists: readonly (readonly Event[])[]): readonly Event[] => {
  const events = new Map<string, Event>();
  for (const event of lists.flat()) {
    events.set(`${event.process}|${event.stamp.wallMs}|${event.stamp.counter}`, event);
  }
  return [...events.values()].sort(compareStamps);
};
