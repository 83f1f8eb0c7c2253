import type { Request } from '@toucanline/schema';

/** What follows the tasks of a simulated site. */
export interface TaskObserver {
  /** Called when a task starts. */
  readonly noteStart: (request: Request, index: number, nowMs: number) => void;
  /** Called when a task ends or is stopped. */
  readonly noteEnd: (request: Request) => void;
}
