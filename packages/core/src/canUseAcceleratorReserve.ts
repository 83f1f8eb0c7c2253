import type { Request } from '@toucanline/schema';

/**
 * Checks whether a request may use the processors and memory that are reserved beside free accelerators. Urgent
 * work does not wait for a reserve, and a gang has a reservation of its own.
 *
 * @param request - the request
 * @returns true if it may use them
 */
export const canUseAcceleratorReserve = ({ size, urgent, kind }: Request): boolean =>
  size.accelerators > 0 || urgent || kind === 'gang';
