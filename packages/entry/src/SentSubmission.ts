import type { Submission } from './Submission.js';

/** A submission that was offered to a shard. */
export interface SentSubmission extends Submission {
  /** Local monotonic time since which the shard may hold it, in milliseconds. */
  readonly offeredAt: number;
}
