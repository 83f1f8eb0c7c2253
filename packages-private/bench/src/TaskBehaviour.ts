import type { Assignment, TaskDelta } from '@toucanline/schema';

/** What the tasks of the model workers do, and who follows them. */
export interface TaskBehaviour {
  /** Run time of a task on a worker of speed 1, in milliseconds. */
  readonly getRunTimeMs: (assignment: Assignment) => number;
  readonly onStart?: (assignment: Assignment, speed: number) => void;
  readonly onEnd: (assignment: Assignment, state: TaskDelta['state'], speed: number) => void;
}
