import type { PendingStep } from './PendingStep.js';
import type { ImageDurations } from './ImageDurations.js';
import type { PermitCache } from './PermitCache.js';
import type { PlanningPass } from './PlanningPass.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** Decides for which steps and workers placement permits are asked, and when. */
export class PermitRequests {
  readonly #permits: PermitCache;
  readonly #durations: ImageDurations;

  /**
   * @param permits - the known permits
   * @param durations - durations by image
   */
  public constructor(permits: PermitCache, durations: ImageDurations) {
    this.#permits = permits;
    this.#durations = durations;
  }

  /**
   * Asks for verdicts that are unknown, and for expired permits of workers that have the room now.
   *
   * @param demand - the step and its queue
   * @param workers - workers on which it may run, as far as labels and service go
   * @param kept - workers that have room for it
   * @param pass - takes the call, if one is needed and possible
   */
  public requestPermits(
    { step, queue }: PendingStep,
    workers: readonly Worker[],
    kept: ReadonlySet<Worker>,
    pass: PlanningPass,
  ): void {
    const { now } = pass;
    const { advice } = queue;
    if (advice === undefined || !this.#permits.canRequest(step.key, now)) return;
    const missing = workers.filter((worker) =>
      this.#permits.hasVerdict(step.key, worker)
        ? kept.has(worker) && this.#permits.findPermit(step.key, worker, now) === undefined
        : true,
    );
    if (missing.length === 0) return;
    const asked = [...missing]
      .sort((a, b) => b.free.milliProcessors - a.free.milliProcessors)
      .slice(0, schedulingLimits.maxWorkersPerAdvice);
    this.#permits.markRequested(step.key);
    pass.addCommand({
      kind: 'advise',
      stepKey: step.key,
      queue: queue.name,
      workers: asked,
      expectedMs: advice.baseMs + advice.perWorkerMs * asked.length,
      priority: queue.priority,
    });
  }

  /**
   * Tells whether the steps before one are about to end, so that its permits should be asked for.
   *
   * @param step - a step that waits for others
   * @param leadMs - expected duration of the call, in milliseconds
   * @param now - monotonic time
   * @returns whether it is time
   */
  public isDueSoon(step: StepInstance, leadMs: number, now: number): boolean {
    if (step.description.dependsOn.length === 0 || step.isDone || step.isReady) return false;
    return step.description.dependsOn.every((number) => {
      const before = step.job.findStep(step.occurrence, number);
      if (before === undefined) return false;
      const { image, estimateMs } = before.description;
      const expectedMs = this.#durations.estimate(image, estimateMs);
      return before.tasks.every(
        (task) =>
          task.phase === 'done' ||
          (task.phase === 'running' &&
            now - task.phaseStartedAt >= expectedMs - leadMs - schedulingLimits.adviceLeadMs),
      );
    });
  }
}
