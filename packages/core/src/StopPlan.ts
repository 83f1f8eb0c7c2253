import type { Failure } from '@toucanline/schema';

/** What happens to a request once all its tasks have stopped. */
export interface StopPlan {
  readonly next: 'cancelled' | 'failed' | 'requeue';
  /** Reason for the caller; undefined if the request is requeued. */
  readonly failure?: Failure;
  /** Whether the next start counts against the retry budget. */
  readonly isCharged?: boolean;
}
