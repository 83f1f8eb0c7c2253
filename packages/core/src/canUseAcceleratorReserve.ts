import type { Request } from '@toucanline/schema';

/**
 * Checks whether a request may take the processors and memory that are kept beside free accelerators.
 * Urgent work does not wait for a reservation, and a gang has one of its own.
 *
 * @param request - the request
 * @returns true if it may
 */
export const canUseAcceleratorReserve = ({ size, urgent, kind }: Request): boolean =>
  size.accelerators > 0 || urgent || kind === 'gang';
