import type { Contention } from './Contention.js';
import type { StepInstance } from './StepInstance.js';

/** Tasks of a step for which workers are wanted. */
export interface PlacementRequest {
  readonly step: StepInstance;
  /** Most tasks to place. */
  readonly limit: number;
  /** Expected duration of one task on a mean worker near its data, in milliseconds. */
  readonly expectedMs: number;
  /** Time left for the step if the job is to meet its objective, in milliseconds; infinite without an objective. */
  readonly leftMs: number;
  /** How much other steps depend on the workers. */
  readonly contention: Contention;
}
