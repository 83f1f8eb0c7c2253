import type { Amount, Resources } from '@toucanline/schema';

/**
 * Converts resources to the compact form of messages, a tuple without field names.
 *
 * @param resources - the resources
 * @returns processors, memory in MB, accelerators
 */
export const toAmount = ({ processors, memoryMb, accelerators }: Resources): Amount => [
  processors,
  memoryMb,
  accelerators,
];
