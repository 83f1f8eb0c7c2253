import type { Resources } from '@toucanline/schema';

/** What one worker has left for new tasks. */
export interface Capacity {
  /** For work that needs accelerators, urgent work, gangs and large tasks. */
  readonly free: Resources;
  /** For other work: less what is kept beside free accelerators. */
  readonly unreserved: Resources;
  /** Tasks above this size are large: what is kept might leave them no room for ever. */
  readonly largeTaskSize: Resources;
}
