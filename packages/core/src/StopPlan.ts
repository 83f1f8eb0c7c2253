import type { Failure } from '@toucanline/schema';

/** What happens to a request once all its tasks have stopped. */
export interface StopPlan {
  readonly next: 'cancelled' | 'failed' | 'requeue';
  /** Reason that the caller sees, unless the request is put back into the queue. */
  readonly failure?: Failure;
  /** Whether the next start counts against the retry budget. */
  readonly isCharged?: boolean;
}
