import type { JobProgress, JobRecord, JobState, StepProgress } from '@toucanline/schema';
import type { AccountUsage } from './AccountUsage.js';
import { StepInstance } from './StepInstance.js';
import type { Task } from './Task.js';

/** An accepted job with the state of its tasks. */
export class Job {
  /** Usage of the client account that it counts against. */
  public readonly account: AccountUsage;
  /** Revision of the store at which the job was accepted. */
  public readonly acceptedRevision: number;
  #record: JobRecord;
  #state: JobState = 'queued';
  #publishedState: JobState = 'queued';
  #finishedAtMs = 0;
  readonly #occurrences: (readonly StepInstance[])[] = [];
  /** Steps of all occurrences; planning reads them on each pass. */
  #steps: readonly StepInstance[] = [];
  #hasStarted = false;
  readonly #acceptedAt: number;
  readonly #isOverRate: boolean;

  /**
   * @param record - the accepted job
   * @param account - usage of its account
   * @param acceptedRevision - revision of the store
   * @param acceptedAt - acceptance on the monotonic clock
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

  /** Whether its account sent it beyond the rate that it is entitled to. */
  public get isOverRate(): boolean {
    return this.#isOverRate;
  }

  /** Id chosen by the caller. */
  public get id(): string {
    return this.#record.id;
  }

  /** The accepted job. */
  public get record(): JobRecord {
    return this.#record;
  }

  /** Acceptance on the monotonic clock. */
  public get acceptedAt(): number {
    return this.#acceptedAt;
  }

  /** Current state. */
  public get state(): JobState {
    return this.#state;
  }

  /** State that callers see: ends are shown once they lie in the store. */
  public get publishedState(): JobState {
    if (this.#publishedState !== 'queued') return this.#publishedState;
    return this.#hasStarted ? 'running' : 'queued';
  }

  /** Whether nothing more is to be started. */
  public get isFinished(): boolean {
    return this.#state === 'completed' || this.#state === 'failed' || this.#state === 'cancelled';
  }

  /** Whether a task was ever seen to start. */
  public get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** When it finished, in Unix milliseconds; 0 if it did not. */
  public get finishedAtMs(): number {
    return this.#finishedAtMs;
  }

  /** Steps of all occurrences that are due. */
  public get steps(): readonly StepInstance[] {
    return this.#steps;
  }

  /** All tasks of the due occurrences. */
  public get tasks(): readonly Task[] {
    return this.steps.flatMap((step) => step.tasks);
  }

  /**
   * Opens the occurrences that are due.
   *
   * @param wallMs - Unix time in milliseconds
   * @returns whether one was opened
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
   * @param occurrence - number of the occurrence
   * @param number - number of the step
   * @returns the step, if its occurrence is open
   */
  public findStep(occurrence: number, number: number): StepInstance | undefined {
    return this.#occurrences[occurrence]?.[number];
  }

  /**
   * Finds a task, opening its occurrence: one that a worker runs was due for the leader that started it.
   *
   * @param occurrence - number of the occurrence
   * @param step - number of the step
   * @param index - index of the task
   * @returns the task, if the job has it
   */
  public findTask(occurrence: number, step: number, index: number): Task | undefined {
    const { schedule, steps } = this.#record.specification;
    if (occurrence >= (schedule?.occurrences ?? 1)) return undefined;
    while (this.#occurrences.length <= occurrence) this.#openNextOccurrence(steps);
    return this.findStep(occurrence, step)?.tasks[index];
  }

  /**
   * Takes a newer record: only its cancellation can change.
   *
   * @param record - the record
   */
  public mergeCancellation(record: JobRecord): void {
    this.#record = { ...this.#record, isCancelled: this.#record.isCancelled || record.isCancelled };
  }

  /** Notes that a task was started. */
  public markStarted(): void {
    this.#hasStarted = true;
  }

  /**
   * Ends the job.
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
   * Completes the job if nothing is left to do.
   *
   * @param wallMs - Unix time in milliseconds
   */
  public completeIfDone(wallMs: number): void {
    const total = this.#record.specification.schedule?.occurrences ?? 1;
    if (this.#occurrences.length < total) return;
    if (this.steps.every((step) => step.isDone)) this.finish('completed', wallMs);
  }

  /**
   * Ends the job if it was cancelled or nothing is left to do.
   *
   * @param wallMs - Unix time in milliseconds
   * @returns whether it is finished
   */
  public finishIfEnded(wallMs: number): boolean {
    if (this.#record.isCancelled) this.finish('cancelled', wallMs);
    else this.completeIfDone(wallMs);
    return this.isFinished;
  }

  /**
   * Describes what must outlive this process.
   *
   * @returns the ends of the job's tasks; only the state of a finished job
   */
  public describeProgress(): JobProgress {
    if (this.isFinished) {
      return { id: this.id, state: this.#state, finishedAtMs: this.#finishedAtMs, steps: [] };
    }
    return { id: this.id, state: this.#state, steps: this.steps.flatMap(describeStep) };
  }

  /**
   * Restores what an earlier leader wrote.
   *
   * @param progress - the written ends
   * @param now - monotonic time
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
   * Shows the state that now lies in the store.
   *
   * @param state - the written state
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
