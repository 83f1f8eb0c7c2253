import type { QueueTerms } from './QueueTerms.js';
import type { StepInstance } from './StepInstance.js';

/** A ready step with waiting tasks, and the properties that decide when it is served. */
export interface PendingStep {
  readonly step: StepInstance;
  readonly queue: QueueTerms;
  /** Monotonic time in milliseconds by which the job should be completed. */
  readonly jobDeadline: number;
  /**
   * Monotonic time in milliseconds by which this step should be done, so that the steps after it are in time as well.
   */
  readonly stepDeadline: number;
  /** Whether the job can still meet its objective, is late, or is so late that its completion has no value any more. */
  readonly lateness: 'onTime' | 'late' | 'hopeless';
}
