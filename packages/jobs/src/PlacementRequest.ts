import type { Contention } from './Contention.js';
import type { StepInstance } from './StepInstance.js';

/** Request to choose workers for the waiting tasks of a step. */
export interface PlacementRequest {
  readonly step: StepInstance;
  /** Maximum number of tasks to place. */
  readonly maxTasks: number;
  /** Expected duration of one task on a worker of mean speed near its data, in milliseconds. */
  readonly expectedMs: number;
  /** Time until the deadline of the step, in milliseconds; infinite without an objective. */
  readonly timeLeftMs: number;
  /** Contention of pending steps for each worker. */
  readonly contention: Contention;
}
