import type { Amount, Resources } from '@toucanline/schema';

/**
 * Converts the compact form of an amount to resources.
 *
 * @param amount - processors, memory in MB, accelerators
 * @returns the resources
 */
export const fromAmount = ([processors, memoryMb, accelerators]: Amount): Resources => ({
  processors,
  memoryMb,
  accelerators,
});
