import type { Assignment, TaskDelta } from '@toucanline/schema';

/** Run times of tasks on simulated workers, and callbacks for their start and end. */
export interface TaskBehaviour {
  /** Returns the run time of a task on a worker of speed 1, in milliseconds. */
  readonly getRunTimeMs: (assignment: Assignment) => number;
  /** Called when a task starts on a worker with the given speed. */
  readonly onStart?: (assignment: Assignment, speed: number) => void;
  /** Called when a task ends or is stopped on a worker with the given speed. */
  readonly onEnd: (assignment: Assignment, state: TaskDelta['state'], speed: number) => void;
}
