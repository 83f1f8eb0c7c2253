import type { Amount, Resources } from '@toucanline/schema';

/**
 * Reads resources that were written without the names of their fields.
 *
 * @param amount - processors, memory in MB, accelerators
 * @returns the resources
 */
export const fromAmount = ([processors, memoryMb, accelerators]: Amount): Resources => ({
  processors,
  memoryMb,
  accelerators,
});
