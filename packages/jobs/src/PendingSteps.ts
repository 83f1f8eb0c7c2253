import { comparePendingSteps } from './comparePendingSteps.js';
import type { PendingStep } from './PendingStep.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { QueueSettings } from './QueueSettings.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';

/** Lists the steps that wait, in the order of their turn. */
export class PendingSteps {
  readonly #jobs: JobRegistry;
  readonly #queues: QueueSettings;
  readonly #durations: ImageDurations;
  readonly #canStillRun: (job: Job, service: string) => boolean;

  /**
   * @param book - the jobs
   * @param terms - terms of the queues
   * @param durations - durations by image
   * @param isHeld - whether a job's tasks may still run where this leader cannot look
   */
  public constructor(
    book: JobRegistry,
    terms: QueueSettings,
    durations: ImageDurations,
    isHeld: (job: Job, service: string) => boolean,
  ) {
    this.#jobs = book;
    this.#queues = terms;
    this.#durations = durations;
    this.#canStillRun = isHeld;
  }

  /**
   * Collects the ready steps with waiting tasks.
   *
   * @param now - monotonic time
   * @returns demands in the order of their turn
   */
  public collect(now: number): readonly PendingStep[] {
    const demands: PendingStep[] = [];
    for (const job of this.#jobs.openJobs) {
      const queue = this.#queues.findQueue(job);
      if (queue === undefined || this.#canStillRun(job, queue.service)) continue;
      const objectiveMs = this.#queues.computeObjectiveMs(job);
      for (const step of job.steps) {
        if (step.waitingCount === 0 || step.retryAt > now || !step.isReady) continue;
        demands.push({
          step,
          queue,
          deadline: job.acceptedAt + objectiveMs,
          dueAt: this.#computeStepDeadline(step, objectiveMs),
          punctuality: this.#classifyLateness(step, objectiveMs, now),
        });
      }
    }
    return demands.sort(comparePendingSteps);
  }

  /**
   * Estimates the duration of a task on a mean worker.
   *
   * @param step - its step
   * @returns milliseconds
   */
  public estimateDurationMs({ description, duration: work }: StepInstance): number {
    const { image, estimateMs } = description;
    return Math.exp(work.estimate(this.#durations.estimate(image, estimateMs)).logMs);
  }

  #computeStepDeadline(step: StepInstance, objectiveMs: number): number {
    const { job, number, description } = step;
    if (description.isLongRunning === true) return Infinity;
    // The time of an occurrence counts from its due time: such work takes the fast workers.
    if (job.record.specification.schedule !== undefined) return -Infinity;
    return job.acceptedAt + objectiveMs - this.#queues.computeDownstreamMs(job, number);
  }

  /** Lasting and scheduled work is never late by the age of its job. */
  #classifyLateness(
    step: StepInstance,
    objectiveMs: number,
    now: number,
  ): PendingStep['punctuality'] {
    const { job, description } = step;
    if (description.isLongRunning === true) return 'onTime';
    if (job.record.specification.schedule !== undefined) return 'onTime';
    const ageMs = now - job.acceptedAt;
    if (ageMs > objectiveMs * schedulingLimits.hopelessFactor) return 'hopeless';
    const leftMs = this.estimateDurationMs(step);
    return ageMs + leftMs * schedulingLimits.trustedEstimateShare > objectiveMs ? 'late' : 'onTime';
  }
}
