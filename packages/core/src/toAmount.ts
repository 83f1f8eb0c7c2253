import type { Amount, Resources } from '@toucanline/schema';

/**
 * Writes resources without the names of their fields.
 *
 * @param resources - the resources
 * @returns processors, memory in MB, accelerators
 */
export const toAmount = ({ processors, memoryMb, accelerators }: Resources): Amount => [
  processors,
  memoryMb,
  accelerators,
];
