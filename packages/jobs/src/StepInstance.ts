import type { JobStep } from '@toucanline/schema';
import type { Job } from './Job.js';
import { StepTurn } from './backlog/StepTurn.js';
import { StepDuration } from './StepDuration.js';
import { Task } from './Task.js';

/** One step in one occurrence of a job. */
export class StepInstance {
  /** Job that the step belongs to. */
  public readonly job: Job;
  /** Number of the occurrence, from 0. */
  public readonly occurrence: number;
  /** Number of the step, from 0. */
  public readonly number: number;
  /** Name of the step in requests for permits: job, occurrence and step, joined by dots. */
  public readonly key: string;
  /** Submitted description of the step. */
  public readonly description: JobStep;
  /** Tasks by index. */
  public readonly tasks: readonly Task[];
  /** Estimated duration of its tasks. */
  public readonly durationEstimate = new StepDuration();
  /** Time that the step has waited, and its last turn. */
  public readonly turn = new StepTurn();
  /** Counts of done and waiting tasks, updated with each phase change because each planning pass reads them. */
  #doneCount = 0;
  #waitingCount: number;
  /** Numbers of the failed runs of a gang, which fails as a whole. */
  readonly #failedGangRuns = new Set<number>();
  #retryAt = 0;

  /**
   * @param job - job that the step belongs to
   * @param occurrence - number of the occurrence, from 0
   * @param number - number of the step, from 0
   * @param description - submitted description of the step
   */
  public constructor(job: Job, occurrence: number, number: number, description: JobStep) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.key = `${job.id}.${occurrence}.${number}`;
    this.description = description;
    this.#waitingCount = description.taskCount;
    this.tasks = Array.from({ length: description.taskCount }, (_, index) => new Task(this, index));
  }

  /** Whether all tasks are done. */
  public get isDone(): boolean {
    return this.#doneCount === this.tasks.length;
  }

  /** Number of tasks that wait for placement. */
  public get waitingCount(): number {
    return this.#waitingCount;
  }

  /** Number of tasks that are neither waiting nor done: their runs are being started, are running or being stopped. */
  public get activeCount(): number {
    return this.tasks.length - this.#doneCount - this.#waitingCount;
  }

  /** Whether all dependencies are done, so that the tasks may start. */
  public get isReady(): boolean {
    return this.description.dependsOn.every(
      (number) => this.job.findStep(this.occurrence, number)?.isDone === true,
    );
  }

  /** Numbers of the failed runs of the gang. */
  public get failedGangRuns(): ReadonlySet<number> {
    return this.#failedGangRuns;
  }

  /** Monotonic time in milliseconds before which the step is not placed again. */
  public get retryAt(): number {
    return this.#retryAt;
  }

  /**
   * Delays the next placement; an earlier time than the current one has no effect.
   *
   * @param time - monotonic time in milliseconds
   */
  public delayRetryUntil(time: number): void {
    this.#retryAt = Math.max(this.#retryAt, time);
  }

  /**
   * Records a failed run of the gang; each run counts once, whichever members report it.
   *
   * @param run - number of the run
   */
  public addFailedGangRun(run: number): void {
    this.#failedGangRuns.add(run);
  }

  /**
   * Updates the counts; called by the tasks.
   *
   * @param from - phase that a task leaves
   * @param to - phase that the task enters
   */
  public recordPhaseChange(from: Task['phase'], to: Task['phase']): void {
    if (from === 'waiting') this.#waitingCount -= 1;
    if (to === 'waiting') this.#waitingCount += 1;
    if (from === 'done') this.#doneCount -= 1;
    if (to === 'done') this.#doneCount += 1;
  }
}
