import type { Submission } from './Submission.js';

/** Submission that was sent to a shard. */
export interface SentSubmission extends Submission {
  /** Local monotonic time since which the shard may hold the request, in milliseconds. */
  readonly sentAt: number;
}
