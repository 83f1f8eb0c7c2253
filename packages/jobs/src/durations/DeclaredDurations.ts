import type { StepInstance } from '../StepInstance.js';
import { StepDuration } from '../StepDuration.js';
import type { Task } from '../Task.js';
import { schedulingLimits } from '../schedulingLimits.js';
import type { DurationEstimate } from './DurationEstimate.js';
import { DurationEstimates } from './DurationEstimates.js';

/** Weight of a finished run in the mean of its image. */
const meanWeight = 0.2;
/** Shortest expected duration in milliseconds. */
const minDurationMs = 50;

/** Declared durations, or the moving mean of the image. Nothing is stored. */
export class DeclaredDurations extends DurationEstimates {
  readonly #means = new Map<string, number>();

  /** {@inheritDoc DurationEstimates.estimateKind} */
  public override estimateKind({ description }: StepInstance): DurationEstimate {
    const mean = this.#means.get(description.image ?? '');
    const medianMs = Math.max(minDurationMs, mean ?? description.estimateMs);
    return {
      medianMs,
      tailMs: medianMs,
      stepVariance: StepDuration.declaredVariance,
      level: 'declared',
    };
  }

  /** {@inheritDoc DurationEstimates.estimateRunMs} */
  public override estimateRunMs({ step }: Task): number {
    return this.estimateKind(step).medianMs;
  }

  /** {@inheritDoc DurationEstimates.estimateRequiredMs} */
  public override estimateRequiredMs(step: StepInstance): number {
    return this.estimateStepMs(step) * schedulingLimits.placementSafetyFactor;
  }

  /** {@inheritDoc DurationEstimates.estimateStallBaseMs} */
  public override estimateStallBaseMs({ description }: StepInstance): number {
    return description.estimateMs;
  }

  /** {@inheritDoc DurationEstimates.recordDone} */
  public override recordDone(task: Task, durationMs: number, now: number): void {
    const { image, isGang, isOpportunistic } = task.step.description;
    if (isGang === true || isOpportunistic === true) return;
    const logMs = this.updateSpeeds(task, durationMs, now);
    if (logMs === undefined || image === undefined) return;
    const mean = this.#means.get(image);
    const meanMs = Math.exp(logMs);
    this.#means.set(
      image,
      mean === undefined ? meanMs : mean * (1 - meanWeight) + meanMs * meanWeight,
    );
  }

  /** {@inheritDoc DurationEstimates.recordCutShort} */
  public override recordCutShort(): void {
    // A mean cannot use a lower bound.
  }

  /** {@inheritDoc DurationEstimates.describe} */
  public override describe(): undefined {
    return undefined;
  }

  /** {@inheritDoc DurationEstimates.restore} */
  public override restore(): void {
    // The means by image are not stored.
  }
}
