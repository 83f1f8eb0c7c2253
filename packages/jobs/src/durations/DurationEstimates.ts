import type { DurationRecord } from '@toucanline/schema';
import type { StepInstance } from '../StepInstance.js';
import type { Task } from '../Task.js';
import type { DurationEstimate } from './DurationEstimate.js';
import type { DurationLevel } from './DurationLevel.js';
import type { DurationOutcome } from './DurationOutcome.js';

/** Longest list of outcomes that are kept until they are taken: several seconds of a busy site. */
const maxOutcomes = 2000;

/**
 * Expected durations of tasks. They change only the order of steps and the choice of workers, never whether or how
 * often a task runs.
 */
export abstract class DurationEstimates {
  #outcomes: DurationOutcome[] = [];

  /**
   * Estimates the duration of the tasks of a kind of work, without the runs of the step itself.
   *
   * @param step - step of the kind
   * @returns expected duration on a worker of mean speed
   */
  public abstract estimateKind(step: StepInstance): DurationEstimate;

  /**
   * Estimates how long a run takes on its worker.
   *
   * @param task - running task
   * @returns duration in milliseconds
   */
  public abstract estimateRunMs(task: Task): number;

  /**
   * Estimates the time that a task needs on a worker of mean speed for the step to be in time there.
   *
   * @param step - step of the task
   * @returns time in milliseconds, with an allowance for a failed run
   */
  public abstract estimateRequiredMs(step: StepInstance): number;

  /**
   * Estimates the duration by which progress is judged: a run is stalled after a share of it without progress.
   *
   * @param step - step of the run
   * @returns duration on a worker of mean speed, in milliseconds
   */
  public abstract estimateStallBaseMs(step: StepInstance): number;

  /**
   * Learns from a run that covered a whole task.
   *
   * @param task - finished task, still on its worker
   * @param durationMs - duration of the run in milliseconds
   * @param now - monotonic time in milliseconds
   */
  public abstract recordDone(task: Task, durationMs: number, now: number): void;

  /**
   * Learns from a run that ended before its task was done: the task would have taken longer.
   *
   * @param task - task, still on its worker
   * @param elapsedMs - time for which the run is known to have run, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  public abstract recordCutShort(task: Task, elapsedMs: number, now: number): void;

  /**
   * Describes what was learned, for the next leader.
   *
   * @param maxBytes - longest record as JSON, in bytes; the least recently used kinds are left out
   * @returns the record; undefined if nothing is to be stored
   */
  public abstract describe(maxBytes: number): DurationRecord | undefined;

  /**
   * Adds what a previous leader learned.
   *
   * @param record - stored record
   * @param now - monotonic time in milliseconds
   */
  public abstract restore(record: DurationRecord, now: number): void;

  /**
   * Estimates the duration of a task on a worker of mean speed, from its kind and the finished tasks of the step.
   *
   * @param step - step of the task
   * @returns duration in milliseconds
   */
  public estimateStepMs(step: StepInstance): number {
    const { medianMs, stepVariance } = this.estimateKind(step);
    return Math.exp(step.durationEstimate.estimate(medianMs, stepVariance).logMs);
  }

  /**
   * Takes the outcomes since the last call.
   *
   * @returns outcomes of estimates, at most 2,000
   */
  public takeOutcomes(): readonly DurationOutcome[] {
    const outcomes = this.#outcomes;
    this.#outcomes = [];
    return outcomes;
  }

  /**
   * Updates the speed of the worker and the estimate of the step with a finished task of its own kind: not a gang, which
   * runs at the speed of all its workers together, nor an opportunistic task, which runs at that of the leftover
   * processors.
   *
   * @param task - finished task, still on its worker
   * @param durationMs - duration of the run in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns natural logarithm of the duration on a worker of mean speed; undefined if the task has no worker
   */
  protected updateSpeeds(task: Task, durationMs: number, now: number): number | undefined {
    const { step, worker } = task;
    if (worker === undefined) return undefined;
    const { medianMs, stepVariance, level } = this.estimateKind(step);
    const logMs = Math.log(Math.max(1, durationMs));
    const expected = step.durationEstimate.estimate(medianMs, stepVariance);
    const { speed } = worker;
    this.addOutcome(level, Math.exp(logMs - speed.logDurationFactor) / medianMs);
    speed.observe(logMs - expected.logMs, expected.variance, now);
    step.durationEstimate.record(logMs - speed.logDurationFactor);
    return logMs - speed.logDurationFactor;
  }

  /**
   * Records how exact an estimate was.
   *
   * @param level - level of the estimate
   * @param ratio - ratio of the actual to the expected duration
   */
  protected addOutcome(level: DurationLevel, ratio: number): void {
    if (this.#outcomes.length < maxOutcomes) this.#outcomes.push({ level, ratio });
  }
}
