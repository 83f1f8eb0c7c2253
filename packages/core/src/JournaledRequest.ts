import type { Request } from '@toucanline/schema';

/** A request as the journal of a shard describes it. */
export interface JournaledRequest {
  readonly request: Request;
  /** Wall time of its deadline in milliseconds. */
  readonly deadlineAtMs: number;
  /** Whether the journal has the intent to start it, or cannot tell because none is written for it. */
  readonly mayHaveStarted: boolean;
  readonly isFinished: boolean;
}
