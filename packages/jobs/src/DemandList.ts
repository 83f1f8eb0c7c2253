import { compareDemands } from './compareDemands.js';
import type { Demand } from './Demand.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import type { JobTerms } from './JobTerms.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepRun } from './StepRun.js';

/** Lists the steps that wait, in the order of their turn. */
export class DemandList {
  readonly #book: JobBook;
  readonly #terms: JobTerms;
  readonly #durations: ImageDurations;
  readonly #isHeld: (job: Job, service: string) => boolean;

  /**
   * @param book - the jobs
   * @param terms - terms of the queues
   * @param durations - durations by image
   * @param isHeld - whether a job's tasks may still run where this leader cannot look
   */
  public constructor(
    book: JobBook,
    terms: JobTerms,
    durations: ImageDurations,
    isHeld: (job: Job, service: string) => boolean,
  ) {
    this.#book = book;
    this.#terms = terms;
    this.#durations = durations;
    this.#isHeld = isHeld;
  }

  /**
   * Collects the ready steps with waiting tasks.
   *
   * @param now - monotonic time
   * @returns demands in the order of their turn
   */
  public collect(now: number): readonly Demand[] {
    const demands: Demand[] = [];
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue === undefined || this.#isHeld(job, queue.service)) continue;
      const objectiveMs = this.#terms.objectiveMs(job);
      for (const step of job.steps) {
        if (step.waitingCount === 0 || step.retryAt > now || !step.isReady) continue;
        demands.push({
          step,
          queue,
          deadline: job.acceptedAt + objectiveMs,
          dueAt: this.#findDue(step, objectiveMs),
          punctuality: this.#rateStep(step, objectiveMs, now),
        });
      }
    }
    return demands.sort(compareDemands);
  }

  /**
   * Estimates the duration of a task on a mean worker.
   *
   * @param step - its step
   * @returns milliseconds
   */
  public expectMs({ description, work }: StepRun): number {
    const { image, estimateMs } = description;
    return Math.exp(work.estimate(this.#durations.estimate(image, estimateMs)).logMs);
  }

  #findDue(step: StepRun, objectiveMs: number): number {
    const { job, number, description } = step;
    if (description.isLongRunning === true) return Infinity;
    // The time of an occurrence counts from its due time: such work takes the fast workers.
    if (job.record.specification.schedule !== undefined) return -Infinity;
    return job.acceptedAt + objectiveMs - this.#terms.tailMs(job, number);
  }

  /** Lasting and scheduled work is never late by the age of its job. */
  #rateStep(step: StepRun, objectiveMs: number, now: number): Demand['punctuality'] {
    const { job, description } = step;
    if (description.isLongRunning === true) return 'onTime';
    if (job.record.specification.schedule !== undefined) return 'onTime';
    const ageMs = now - job.acceptedAt;
    if (ageMs > objectiveMs * schedulingLimits.hopelessFactor) return 'hopeless';
    const leftMs = this.expectMs(step);
    return ageMs + leftMs * schedulingLimits.trustedEstimateShare > objectiveMs ? 'late' : 'onTime';
  }
}
