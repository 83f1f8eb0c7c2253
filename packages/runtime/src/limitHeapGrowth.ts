import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import type { LimitsSection } from '@toucanline/schema';

/** Growth of the heap, in percent of what was in use after a collection, at which garbage is collected again. */
const growthPercent = 20;
const bytesPerMb = 1024 * 1024;

/**
 * Makes Node.js collect garbage early if the heap could otherwise exceed the memory of the machine. By default the heap
 * grows to several times of what is in use before old garbage is collected, and its limit follows from the memory of
 * the whole machine and not from that of the process. The limit itself cannot be changed after the start.
 *
 * @param limits - limits from the settings; without `memoryMb` nothing is changed
 * @returns whether the growth is limited
 */
export const limitHeapGrowth = ({ memoryMb }: LimitsSection = {}): boolean => {
  const isNeeded =
    memoryMb !== undefined && getHeapStatistics().heap_size_limit > memoryMb * bytesPerMb;
  if (isNeeded) setFlagsFromString(`--heap-growing-percent=${growthPercent}`);
  return isNeeded;
};
