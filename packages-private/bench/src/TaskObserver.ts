import type { Request } from '@toucanline/schema';

/** What follows the tasks of a simulated site. */
export interface TaskObserver {
  /** Called when a task starts on a worker of a speed. */
  readonly recordStart: (request: Request, index: number, nowMs: number, speed: number) => void;
  /** Called when a task ends or is stopped on a worker of a speed. */
  readonly recordEnd: (request: Request, speed: number) => void;
}
