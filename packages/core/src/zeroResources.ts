import type { Resources } from '@toucanline/schema';

/** No resources at all. */
export const zeroResources: Resources = Object.freeze({
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});
