import type { Event } from '@toucanline/schema';

/**
 * Orders events by their hybrid clock; events with equal stamps by process, so that the order is total.
 *
 * @param left - an event
 * @param right - another event
 * @returns a negative number if the left one is first
 */
export const compareStamps = (left: Event, right: Event): number =>
  left.stamp.wallMs - right.stamp.wallMs ||
  left.stamp.counter - right.stamp.counter ||
  left.process.localeCompare(right.process);
