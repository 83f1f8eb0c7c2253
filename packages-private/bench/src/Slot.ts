import type { Report, Resources } from '@toucanline/schema';

/** One worker of a baseline. */
export interface Slot {
  readonly report: Report;
  free: Resources;
}
