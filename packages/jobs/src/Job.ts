import type { JobProgress, JobRecord, JobState, StepProgress } from '@toucanline/schema';
import type { AccountUsage } from './AccountUsage.js';
import { StepRun } from './StepRun.js';
import type { Task } from './Task.js';

/** An accepted job with the state of its tasks. */
export class Job {
  /** Usage of the client account that it counts against. */
  public readonly account: AccountUsage;
  /** Revision of the store at which the job was accepted. */
  public readonly acceptedRevision: number;
  #record: JobRecord;
  #state: JobState = 'queued';
  #shownState: JobState = 'queued';
  #finishedAtMs = 0;
  readonly #occurrences: (readonly StepRun[])[] = [];
  /** Steps of all occurrences; planning reads them on each pass. */
  #steps: readonly StepRun[] = [];
  #hasStarted = false;
  readonly #acceptedAt: number;
  readonly #isExcess: boolean;

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
    this.#isExcess = !account.takeEntitlement(acceptedAt);
  }

  /** Whether its account sent it beyond the rate that it is entitled to. */
  public get isExcess(): boolean {
    return this.#isExcess;
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
  public get shownState(): JobState {
    if (this.#shownState !== 'queued') return this.#shownState;
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
  public get steps(): readonly StepRun[] {
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
  public openDue(wallMs: number): boolean {
    const { schedule, steps } = this.#record.specification;
    const before = this.#occurrences.length;
    const total = schedule?.occurrences ?? 1;
    while (this.#occurrences.length < total) {
      const number = this.#occurrences.length;
      if (schedule !== undefined && schedule.firstDueMs + number * schedule.intervalMs > wallMs)
        break;
      this.#openNext(steps);
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
  public findStep(occurrence: number, number: number): StepRun | undefined {
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
    while (this.#occurrences.length <= occurrence) this.#openNext(steps);
    return this.findStep(occurrence, step)?.tasks[index];
  }

  /**
   * Takes a newer record: only its cancellation can change.
   *
   * @param record - the record
   */
  public replaceRecord(record: JobRecord): void {
    this.#record = { ...this.#record, isCancelled: this.#record.isCancelled || record.isCancelled };
  }

  /** Notes that a task was started. */
  public noteStart(): void {
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
  public settle(wallMs: number): boolean {
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
  public restore(progress: JobProgress, now: number): void {
    if (progress.finishedAtMs !== undefined) {
      this.#state = progress.state;
      this.#shownState = progress.state;
      this.#finishedAtMs = progress.finishedAtMs;
      return;
    }
    for (const { occurrence, step, done, failures } of progress.steps) {
      this.#hasStarted = true;
      for (const index of done) this.findTask(occurrence, step, index)?.complete(now);
      for (const { index, runs } of failures) {
        const task = this.findTask(occurrence, step, index);
        for (const run of runs) {
          if (task?.step.description.isGang === true) task.step.addGangFailure(run);
          else task?.addFailure(run);
        }
      }
    }
  }

  /**
   * Shows the state that now lies in the store.
   *
   * @param state - the written state
   */
  public show(state: JobState): void {
    this.#shownState = state;
  }

  #openNext(steps: JobRecord['specification']['steps']): void {
    const occurrence = this.#occurrences.length;
    this.#occurrences.push(
      steps.map((description, number) => new StepRun(this, occurrence, number, description)),
    );
    this.#steps = this.#occurrences.flat();
  }
}

const describeStep = (step: StepRun): readonly StepProgress[] => {
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
