import type { QueueTerms } from './QueueTerms.js';
import { comparePendingSteps } from './comparePendingSteps.js';
import type { PendingStep } from './PendingStep.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { QueueSettings } from './QueueSettings.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';

/** Lists the steps that wait for placement, in the order in which they are served. */
export class PendingSteps {
  readonly #jobs: JobRegistry;
  readonly #queues: QueueSettings;
  readonly #durations: DurationEstimates;
  readonly #isHeld: (job: Job, queue: QueueTerms) => boolean;

  /**
   * @param jobs - known jobs
   * @param queues - settings of the queues
   * @param durations - expected durations
   * @param isHeld - checks whether no tasks of a job may start now
   */
  public constructor(
    jobs: JobRegistry,
    queues: QueueSettings,
    durations: DurationEstimates,
    isHeld: (job: Job, queue: QueueTerms) => boolean,
  ) {
    this.#jobs = jobs;
    this.#queues = queues;
    this.#durations = durations;
    this.#isHeld = isHeld;
  }

  /**
   * Collects the ready steps with waiting tasks.
   *
   * @param now - monotonic time in milliseconds
   * @returns pending steps in the order in which they are served
   */
  public collect(now: number): readonly PendingStep[] {
    const pendingSteps: PendingStep[] = [];
    for (const job of this.#jobs.openJobs) {
      const queue = this.#queues.findQueue(job);
      if (queue === undefined || this.#isHeld(job, queue)) continue;
      const objectiveMs = this.#queues.computeObjectiveMs(job);
      for (const step of job.steps) {
        if (step.waitingCount === 0 || step.retryAt > now || !step.isReady) continue;
        pendingSteps.push({
          step,
          queue,
          jobDeadline: job.acceptedAt + objectiveMs,
          stepDeadline: this.#computeStepDeadline(step, objectiveMs),
          lateness: this.#classifyLateness(step, objectiveMs, now),
        });
      }
    }
    return pendingSteps.sort(comparePendingSteps);
  }

  /**
   * Estimates the duration of a task on a worker of mean speed.
   *
   * @param step - step of the task
   * @returns duration in milliseconds
   */
  public estimateDurationMs(step: StepInstance): number {
    return this.#durations.estimateStepMs(step);
  }

  #computeStepDeadline(step: StepInstance, objectiveMs: number): number {
    const { job, number, description } = step;
    if (description.isLongRunning === true) return Infinity;
    // The objective of an occurrence counts from its due time, so scheduled work always gets the fast workers.
    if (job.record.specification.schedule !== undefined) return -Infinity;
    return job.acceptedAt + objectiveMs - this.#queues.computeDownstreamMs(job, number);
  }

  /** Classifies a step; long-running and scheduled work is never late by the age of its job. */
  #classifyLateness(step: StepInstance, objectiveMs: number, now: number): PendingStep['lateness'] {
    const { job, description } = step;
    if (description.isLongRunning === true) return 'onTime';
    if (job.record.specification.schedule !== undefined) return 'onTime';
    const ageMs = now - job.acceptedAt;
    if (ageMs > objectiveMs * schedulingLimits.hopelessFactor) return 'hopeless';
    const expectedMs = this.estimateDurationMs(step);
    return ageMs + expectedMs * schedulingLimits.trustedEstimateShare > objectiveMs
      ? 'late'
      : 'onTime';
  }
}
