import type { JobProgress, JobRecord, JobState, StepProgress } from '@toucanline/schema';
import type { AccountUsage } from './AccountUsage.js';
import type { QueueTerms } from './QueueTerms.js';
import { StepInstance } from './StepInstance.js';
import type { Task } from './Task.js';

/** An accepted job and the state of its tasks. */
export class Job {
  /** Usage of the client account to which the job belongs. */
  public readonly account: AccountUsage;
  /** Revision of the store at which the job was accepted. */
  public readonly acceptedRevision: number;
  #record: JobRecord;
  #state: JobState = 'queued';
  #publishedState: JobState = 'queued';
  #finishedAtMs = 0;
  readonly #occurrences: (readonly StepInstance[])[] = [];
  /** Steps of all open occurrences, cached because each planning pass reads them. */
  #steps: readonly StepInstance[] = [];
  #hasStarted = false;
  readonly #acceptedAt: number;
  readonly #isOverRate: boolean;
  /** Created on first use: only jobs whose queue is not configured need it. */
  #queueTerms: QueueTerms | undefined;

  /**
   * @param record - record of the accepted job
   * @param account - usage of the client account
   * @param acceptedRevision - store revision at which the job was accepted
   * @param acceptedAt - monotonic time of acceptance, in milliseconds
   */
  public constructor(
    record: JobRecord,
    account: AccountUsage,
    acceptedRevision: number,
    acceptedAt: number,
  ) {
    this.#record = record;
    this.account = account;
    this.acceptedRevision = acceptedRevision;
    this.#acceptedAt = acceptedAt;
    this.#isOverRate = !account.takeRateToken(acceptedAt);
  }

  /** Whether the account had exceeded its entitled rate when it submitted the job. */
  public get isOverRate(): boolean {
    return this.#isOverRate;
  }

  /** Id of the job, chosen by the caller. */
  public get id(): string {
    return this.#record.id;
  }

  /** Record of the accepted job. */
  public get record(): JobRecord {
    return this.#record;
  }

  /** Settings of the queue when the job was accepted; undefined if the record does not hold them. */
  public get queueTerms(): QueueTerms | undefined {
    const { queue, terms } = this.#record;
    if (terms !== undefined) this.#queueTerms ??= { name: queue, ...terms };
    return this.#queueTerms;
  }

  /** Monotonic time of acceptance, in milliseconds. */
  public get acceptedAt(): number {
    return this.#acceptedAt;
  }

  /** Current state, which may not be written to the store yet. */
  public get state(): JobState {
    return this.#state;
  }

  /** State that callers see: a final state is published only once it is written to the store. */
  public get publishedState(): JobState {
    if (this.#publishedState !== 'queued') return this.#publishedState;
    return this.#hasStarted ? 'running' : 'queued';
  }

  /** Whether the job is in a final state, so that none of its tasks is started any more. */
  public get isFinished(): boolean {
    return this.#state === 'completed' || this.#state === 'failed' || this.#state === 'cancelled';
  }

  /** Whether a task has ever started. */
  public get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Unix time at which the job finished, in milliseconds; 0 if it has not. */
  public get finishedAtMs(): number {
    return this.#finishedAtMs;
  }

  /** Steps of all open occurrences. */
  public get steps(): readonly StepInstance[] {
    return this.#steps;
  }

  /** Tasks of all open occurrences. */
  public get tasks(): readonly Task[] {
    return this.steps.flatMap((step) => step.tasks);
  }

  /**
   * Opens the occurrences that are due.
   *
   * @param wallMs - Unix time in milliseconds
   * @returns whether an occurrence was opened
   */
  public openDueOccurrences(wallMs: number): boolean {
    const { schedule, steps } = this.#record.specification;
    const before = this.#occurrences.length;
    const total = schedule?.occurrences ?? 1;
    while (this.#occurrences.length < total) {
      const number = this.#occurrences.length;
      if (schedule !== undefined && schedule.firstDueMs + number * schedule.intervalMs > wallMs)
        break;
      this.#openNextOccurrence(steps);
    }
    return this.#occurrences.length > before;
  }

  /**
   * Finds a step.
   *
   * @param occurrence - number of the occurrence, from 0
   * @param number - number of the step, from 0
   * @returns the step; undefined if its occurrence is not open
   */
  public findStep(occurrence: number, number: number): StepInstance | undefined {
    return this.#occurrences[occurrence]?.[number];
  }

  /**
   * Finds a task, and opens its occurrence if needed: an occurrence whose task a worker runs was already due for the
   * leader that started it.
   *
   * @param occurrence - number of the occurrence, from 0
   * @param step - number of the step, from 0
   * @param index - index of the task within the step, from 0
   * @returns the task; undefined if the job has no such task
   */
  public findTask(occurrence: number, step: number, index: number): Task | undefined {
    const { schedule, steps } = this.#record.specification;
    if (occurrence >= (schedule?.occurrences ?? 1)) return undefined;
    while (this.#occurrences.length <= occurrence) this.#openNextOccurrence(steps);
    return this.findStep(occurrence, step)?.tasks[index];
  }

  /**
   * Applies the cancellation of a newer record, the only field that can change.
   *
   * @param record - newer record of the job
   */
  public mergeCancellation(record: JobRecord): void {
    this.#record = { ...this.#record, isCancelled: this.#record.isCancelled || record.isCancelled };
  }

  /** Records that a task has started. */
  public markStarted(): void {
    this.#hasStarted = true;
  }

  /**
   * Moves the job to a final state; does nothing if it is finished.
   *
   * @param state - final state
   * @param wallMs - Unix time in milliseconds
   */
  public finish(state: 'completed' | 'failed' | 'cancelled', wallMs: number): void {
    if (this.isFinished) return;
    this.#state = state;
    this.#finishedAtMs = wallMs;
  }

  /**
   * Completes the job if all steps of all occurrences are done.
   *
   * @param wallMs - Unix time in milliseconds
   */
  public completeIfDone(wallMs: number): void {
    const total = this.#record.specification.schedule?.occurrences ?? 1;
    if (this.#occurrences.length < total) return;
    if (this.steps.every((step) => step.isDone)) this.finish('completed', wallMs);
  }

  /**
   * Finishes the job if it was cancelled or all its steps are done.
   *
   * @param wallMs - Unix time in milliseconds
   * @returns whether the job is finished
   */
  public finishIfEnded(wallMs: number): boolean {
    if (this.#record.isCancelled) this.finish('cancelled', wallMs);
    else this.completeIfDone(wallMs);
    return this.isFinished;
  }

  /**
   * Describes the progress that must be persisted for a successor.
   *
   * @returns done tasks and failed runs; for a finished job only its state
   */
  public describeProgress(): JobProgress {
    if (this.isFinished) {
      return { id: this.id, state: this.#state, finishedAtMs: this.#finishedAtMs, steps: [] };
    }
    return { id: this.id, state: this.#state, steps: this.steps.flatMap(describeStep) };
  }

  /**
   * Restores the progress that a previous leader wrote.
   *
   * @param progress - progress of the job, as stored
   * @param now - monotonic time in milliseconds
   */
  public restoreProgress(progress: JobProgress, now: number): void {
    if (progress.finishedAtMs !== undefined) {
      this.#state = progress.state;
      this.#publishedState = progress.state;
      this.#finishedAtMs = progress.finishedAtMs;
      return;
    }
    for (const { occurrence, step, done, failures } of progress.steps) {
      this.#hasStarted = true;
      for (const index of done) this.findTask(occurrence, step, index)?.complete(now);
      for (const { index, runs } of failures) {
        const task = this.findTask(occurrence, step, index);
        for (const run of runs) {
          if (task?.step.description.isGang === true) task.step.addFailedGangRun(run);
          else task?.addFailedRun(run);
        }
      }
    }
  }

  /**
   * Publishes the state that is now written to the store.
   *
   * @param state - written state
   */
  public publishState(state: JobState): void {
    this.#publishedState = state;
  }

  #openNextOccurrence(steps: JobRecord['specification']['steps']): void {
    const occurrence = this.#occurrences.length;
    this.#occurrences.push(
      steps.map((description, number) => new StepInstance(this, occurrence, number, description)),
    );
    this.#steps = this.#occurrences.flat();
  }
}

const describeStep = (step: StepInstance): readonly StepProgress[] => {
  const done = step.tasks
    .filter(({ phase, isDoneElsewhere }) => phase === 'done' || isDoneElsewhere)
    .map(({ index }) => index);
  const failures =
    step.failedGangRuns.size > 0
      ? [{ index: 0, runs: [...step.failedGangRuns] }]
      : step.tasks
          .filter(({ failedRuns }) => failedRuns.size > 0)
          .map(({ index, failedRuns }) => ({ index, runs: [...failedRuns] }));
  if (done.length === 0 && failures.length === 0) return [];
  return [{ occurrence: step.occurrence, step: step.number, done, failures }];
};
