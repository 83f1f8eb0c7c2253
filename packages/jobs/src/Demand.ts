import type { QueueConfiguration } from '@toucanline/schema';
import type { StepRun } from './StepRun.js';

/** A ready step with waiting tasks, and what decides its turn. */
export interface Demand {
  readonly step: StepRun;
  readonly queue: QueueConfiguration;
  /** Monotonic time by which the job should be completed. */
  readonly deadline: number;
  /** So late that its completion earns nothing any more. */
  readonly isHopeless: boolean;
}
