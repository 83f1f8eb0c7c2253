import type { Resources } from '@toucanline/schema';

/**
 * Describes an amount of resources as text.
 *
 * @param amount - the amount
 * @returns text such as `4 processors, 2048 MB, 1 accelerators`, without resources of 0; `nothing` if all are 0
 */
export const describeResources = (amount: Resources): string => {
  const parts = [
    amount.processors === 0 ? '' : `${amount.processors} processors`,
    amount.memoryMb === 0 ? '' : `${amount.memoryMb} MB`,
    amount.accelerators === 0 ? '' : `${amount.accelerators} accelerators`,
  ].filter((part) => part !== '');
  return parts.length === 0 ? 'nothing' : parts.join(', ');
};
