import type { Resources } from '@toucanline/schema';

/** Free capacity of one worker for new tasks. */
export interface Capacity {
  /** All free capacity, for work that needs accelerators, urgent work, gangs and large tasks. */
  readonly free: Resources;
  /** Free capacity without the accelerator reserve, for other work. */
  readonly unreserved: Resources;
  /**
   * Size above which a task is large. Large tasks may use the accelerator reserve, which might
   * otherwise block them for ever.
   */
  readonly largeTaskSize: Resources;
}
