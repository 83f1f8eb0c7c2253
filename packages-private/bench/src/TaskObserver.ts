import type { Request } from '@toucanline/schema';

/** Receives the starts and ends of tasks of a simulated site. */
export interface TaskObserver {
  /** Called when a task starts on a worker with the given speed. */
  readonly recordStart: (request: Request, index: number, nowMs: number, speed: number) => void;
  /** Called when a task ends or is stopped on a worker with the given speed. */
  readonly recordEnd: (request: Request, speed: number) => void;
}
