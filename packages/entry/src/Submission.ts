import type { Policy } from '@toucanline/core';
import type { Request, SubmitCall } from '@toucanline/schema';

/** Request of a caller with the policy and the time limits that apply to it. */
export interface Submission {
  readonly request: Request;
  readonly policy: Policy;
  readonly detached: SubmitCall['detached'];
  /** Local monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Local monotonic time until which the caller waits, in milliseconds. */
  readonly waitUntil: number;
}
