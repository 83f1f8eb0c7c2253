import type { Resources } from '@toucanline/schema';

/** Zero of every resource. */
export const zeroResources: Resources = Object.freeze({
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});
