import type { Policy } from '@toucanline/core';
import type { Request, SubmitCall } from '@toucanline/schema';

/** A request of a caller with its bounds. */
export interface Submission {
  readonly request: Request;
  readonly policy: Policy;
  readonly detached: SubmitCall['detached'];
  /** Local monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Local monotonic time until which the caller waits, in milliseconds. */
  readonly waitUntil: number;
}
