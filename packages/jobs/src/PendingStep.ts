import type { QueueConfiguration } from '@toucanline/schema';
import type { StepInstance } from './StepInstance.js';

/** A ready step with waiting tasks, and what decides its turn. */
export interface PendingStep {
  readonly step: StepInstance;
  readonly queue: QueueConfiguration;
  /** Monotonic time by which the job should be completed. */
  readonly deadline: number;
  /** Monotonic time by which this step should be done, so that the steps after it are in time as well. */
  readonly dueAt: number;
  /** Whether it still meets its objective, is late, or so late that its completion earns nothing any more. */
  readonly punctuality: 'onTime' | 'late' | 'hopeless';
}
