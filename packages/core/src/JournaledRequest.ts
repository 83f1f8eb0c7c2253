import type { Request } from '@toucanline/schema';

/** A request as the journal of a shard describes it. */
export interface JournaledRequest {
  readonly request: Request;
  /** Wall time of its deadline in milliseconds. */
  readonly deadlineAtMs: number;
  /** Whether it may have run: the journal has the intent to start it, or it starts without one. */
  readonly mayHaveStarted: boolean;
  /** Whether it ended or was cancelled. */
  readonly isFinished: boolean;
}
