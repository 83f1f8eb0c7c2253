import type { Report, Resources } from '@toucanline/schema';

/** Simulated worker of a baseline scheduler, with its free capacity. */
export interface BaselineWorker {
  readonly report: Report;
  free: Resources;
}
