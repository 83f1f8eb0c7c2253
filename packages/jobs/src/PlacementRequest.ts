import type { Candidate } from './Candidate.js';
import type { Contention } from './Contention.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';
import type { Task } from './Task.js';

/** Request to choose workers for the waiting tasks of a step. */
export interface PlacementRequest {
  readonly step: StepInstance;
  /** Maximum number of tasks to place. */
  readonly maxTasks: number;
  /**
   * Time that a task needs on a worker of mean speed in the rack that the step prefers for the step to be in time, with
   * an allowance for a failed run, in milliseconds.
   */
  readonly requiredMs: number;
  /**
   * Time until the deadline of the step, in milliseconds; negative after it, `Infinity` for a long-running step, and
   * `-Infinity` for a scheduled job, which always gets fast workers.
   */
  readonly timeLeftMs: number;
  /** How much the pending large tasks depend on each worker. */
  readonly contention: Contention;
  /**
   * Computes for how long a worker stays cold, and therefore slow.
   *
   * @param worker - worker to check
   * @returns time in milliseconds; 0 if the worker is warm
   */
  readonly computeColdLeftMs: (worker: Worker) => number;
  /**
   * Tasks that may start on one worker only, since it may execute an earlier start of them; undefined if that worker
   * cannot take them now.
   */
  readonly bound: ReadonlyMap<Task, Candidate | undefined>;
}
