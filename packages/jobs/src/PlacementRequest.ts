import type { Candidate } from './Candidate.js';
import type { Contention } from './Contention.js';
import type { StepInstance } from './StepInstance.js';
import type { Task } from './Task.js';

/** Request to choose workers for the waiting tasks of a step. */
export interface PlacementRequest {
  readonly step: StepInstance;
  /** Maximum number of tasks to place. */
  readonly maxTasks: number;
  /** Expected duration of one task on a worker of mean speed in the rack that the step prefers, in milliseconds. */
  readonly expectedMs: number;
  /**
   * Time until the deadline of the step, in milliseconds; negative after it, `Infinity` for a long-running step, and
   * `-Infinity` for a scheduled job, which always gets fast workers.
   */
  readonly timeLeftMs: number;
  /** How much the pending large tasks depend on each worker. */
  readonly contention: Contention;
  /**
   * Tasks that may start on one worker only, since it may execute an earlier start of them; undefined if that worker
   * cannot take them now.
   */
  readonly bound: ReadonlyMap<Task, Candidate | undefined>;
}
