import type { Request } from '@toucanline/schema';

/** State of a request according to the journal of a shard. */
export interface JournaledRequest {
  readonly request: Request;
  /** Wall-clock time of the deadline in milliseconds since the Unix epoch. */
  readonly deadlineAtMs: number;
  /** Whether it may have started: the journal has an intent to start it, or it needs no intent. */
  readonly mayHaveStarted: boolean;
  /** Whether it finished or was cancelled. */
  readonly isFinished: boolean;
}
