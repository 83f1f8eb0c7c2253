import type { Event } from '@toucanline/schema';

/**
 * Compares two events by their hybrid logical clocks, and by process if their stamps are equal, so that the order
 * is total.
 *
 * @param left - an event
 * @param right - another event
 * @returns a negative number if `left` comes first, a positive one if `right` does
 */
export const compareStamps = (left: Event, right: Event): number =>
  left.stamp.wallMs - right.stamp.wallMs ||
  left.stamp.counter - right.stamp.counter ||
  left.process.localeCompare(right.process);
