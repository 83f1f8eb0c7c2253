import type { JobStep } from '@toucanline/schema';
import type { Job } from './Job.js';
import { StepDuration } from './StepDuration.js';
import { Task } from './Task.js';

/** One step in one occurrence of a job. */
export class StepInstance {
  /** The job that it belongs to. */
  public readonly job: Job;
  /** Number of the occurrence, from 0. */
  public readonly occurrence: number;
  /** Number of the step, from 0. */
  public readonly number: number;
  /** Name of the step in calls for permits: job, occurrence and step. */
  public readonly key: string;
  /** What the caller submitted. */
  public readonly description: JobStep;
  /** The tasks, by index. */
  public readonly tasks: readonly Task[];
  /** How long its tasks take. */
  public readonly duration = new StepDuration();
  /** Tasks that are done or waiting, kept with each change because planning asks on each pass. */
  #doneCount = 0;
  #waitingCount: number;
  /** Failed runs of a gang, which fails as a whole. */
  readonly #failedGangRuns = new Set<number>();
  #retryAt = 0;

  /**
   * @param job - the job
   * @param occurrence - number of the occurrence
   * @param number - number of the step
   * @param description - what was submitted
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

  /** Tasks that wait for a worker. */
  public get waitingCount(): number {
    return this.#waitingCount;
  }

  /** Whether the steps before it are done, so that its tasks may start. */
  public get isReady(): boolean {
    return this.description.dependsOn.every(
      (number) => this.job.findStep(this.occurrence, number)?.isDone === true,
    );
  }

  /** Numbers of the failed runs of the gang. */
  public get failedGangRuns(): ReadonlySet<number> {
    return this.#failedGangRuns;
  }

  /** Monotonic time before which the step is not tried again. */
  public get retryAt(): number {
    return this.#retryAt;
  }

  /**
   * Delays the next try.
   *
   * @param time - monotonic time
   */
  public delayRetryUntil(time: number): void {
    this.#retryAt = Math.max(this.#retryAt, time);
  }

  /**
   * Notes a failed run of the gang, whichever member reports it.
   *
   * @param run - number of the run
   */
  public addFailedGangRun(run: number): void {
    this.#failedGangRuns.add(run);
  }

  /**
   * Keeps the counts; called by the tasks.
   *
   * @param from - phase that a task leaves
   * @param to - phase that it enters
   */
  public recordPhaseChange(from: Task['phase'], to: Task['phase']): void {
    if (from === 'waiting') this.#waitingCount -= 1;
    if (to === 'waiting') this.#waitingCount += 1;
    if (from === 'done') this.#doneCount -= 1;
    if (to === 'done') this.#doneCount += 1;
  }
}
