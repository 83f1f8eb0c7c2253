import type { HostEvents, Room } from '@toucanline/schema';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/**
 * Phases of a task. `starting`: the start command is in flight or got no response; `stopping`: the task holds its
 * resources on the worker until the end of the run is reported.
 */
type TaskPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'done';

/** Reason for which a run is stopped. */
type StopReason = HostEvents['taskStopped']['reason'];

/** One task of a step. It is placed on at most one worker at a time and holds resources there until it is released. */
export class Task {
  /** Step that the task belongs to. */
  public readonly step: StepInstance;
  /** Index within the step, from 0. */
  public readonly index: number;
  /** Name on the workers: job, occurrence, step and index, joined by dots. */
  public readonly name: string;
  #phase: TaskPhase = 'waiting';
  #worker: Worker | undefined;
  #run = 0;
  #checkpoint = '';
  readonly #failedRuns = new Set<number>();
  #percent = 0;
  /** Monotonic time at which the reported progress last changed, in milliseconds. */
  #progressChangedAt = 0;
  #reportedAt = 0;
  #load = 0;
  #phaseStartedAt = 0;
  #runStartedAt = 0;
  #stopConfirmedAt: number | undefined;
  #stopReason: StopReason = 'jobEnded';
  #isStartConfirmed = false;
  #isReported = false;
  #isDoneElsewhere = false;
  #hasFullDuration = false;

  /**
   * @param step - step that the task belongs to
   * @param index - index within the step, from 0
   */
  public constructor(step: StepInstance, index: number) {
    this.step = step;
    this.index = index;
    this.name = `${step.key}.${index}`;
  }

  /** Current phase of the task. */
  public get phase(): TaskPhase {
    return this.#phase;
  }

  /** Worker on which the task is placed; undefined if it is not placed. */
  public get worker(): Worker | undefined {
    return this.#worker;
  }

  /** Number of the latest run; 0 before the first. */
  public get run(): number {
    return this.#run;
  }

  /** Latest checkpoint; empty if there is none. */
  public get checkpoint(): string {
    return this.#checkpoint;
  }

  /** Numbers of the runs that ended as failed. */
  public get failedRuns(): ReadonlySet<number> {
    return this.#failedRuns;
  }

  /** Reported progress of the run, in percent. */
  public get percent(): number {
    return this.#percent;
  }

  /** Time without progress up to the last report, in milliseconds; later progress is unknown until the next report. */
  public get stalledMs(): number {
    return this.#reportedAt - Math.max(this.#progressChangedAt, this.#phaseStartedAt);
  }

  /** Reported load: tail latency of a serving task, in milliseconds. */
  public get load(): number {
    return this.#load;
  }

  /** Monotonic time at which the current phase began, in milliseconds. */
  public get phaseStartedAt(): number {
    return this.#phaseStartedAt;
  }

  /** Monotonic time at which the current run was placed, or was confirmed to run, in milliseconds. */
  public get runStartedAt(): number {
    return this.#runStartedAt;
  }

  /**
   * Time for which the current run is known to have run, in milliseconds: until the last report that lists it, and for
   * a stalled one until its last progress.
   */
  public get reportedRunMs(): number {
    const isStalled = this.#phase === 'stopping' && this.#stopReason === 'stalled';
    const knownUntil = isStalled ? this.#progressChangedAt : this.#reportedAt;
    return Math.max(0, knownUntil - this.#runStartedAt);
  }

  /**
   * Monotonic time at which the worker confirmed the stop of the current run, in milliseconds; undefined if it did
   * not.
   */
  public get stopConfirmedAt(): number | undefined {
    return this.#stopConfirmedAt;
  }

  /** Resources that the task holds on its worker. Opportunistic tasks are not charged for processors. */
  public get occupiedResources(): Room {
    const { size, isOpportunistic } = this.step.description;
    return isOpportunistic === true ? { ...size, milliProcessors: 0 } : size;
  }

  /** Whether the worker has confirmed that it runs the current run. */
  public get isStartConfirmed(): boolean {
    return this.#isStartConfirmed;
  }

  /** Whether its incarnation of the worker has reported the current run. */
  public get isReported(): boolean {
    return this.#isReported;
  }

  /** Whether the task is placed on a worker. */
  public get isPlaced(): boolean {
    return this.#worker !== undefined;
  }

  /**
   * Places the task on a worker and enters the phase `starting`.
   *
   * @param worker - worker that is to run the task
   * @param run - number of the run
   * @param now - monotonic time in milliseconds
   */
  public place(worker: Worker, run: number, now: number): void {
    this.#worker = worker;
    this.#run = run;
    this.#percent = 0;
    this.#hasFullDuration = this.#checkpoint === '';
    this.#runStartedAt = now;
    this.#isStartConfirmed = false;
    this.#isReported = false;
    this.#stopConfirmedAt = undefined;
    worker.addTask(this);
    this.step.job.account.add(this.step.description.size, 1);
    this.#enterPhase('starting', now);
  }

  /**
   * Adopts a run that a previous leader started.
   *
   * @param worker - worker that reports the run
   * @param run - number of the run
   * @param now - monotonic time in milliseconds
   */
  public adopt(worker: Worker, run: number, now: number): void {
    this.place(worker, run, now);
    this.#hasFullDuration = false;
    this.confirmReport(now);
  }

  /**
   * Moves the task to the next incarnation of its worker, which may have executed its start command. A confirmed run
   * stays until the incarnation reports its runs; one whose start is not confirmed may still start, so it is stopped.
   *
   * @param worker - next incarnation under the same id
   * @param mustStop - whether an earlier start of the task may still be executed there
   */
  public moveToIncarnation(worker: Worker, mustStop: boolean): void {
    this.#worker?.removeTask(this);
    this.#worker = worker;
    worker.addTask(this);
    this.#hasFullDuration = false;
    this.#isReported = false;
    this.#stopConfirmedAt = undefined;
    if (mustStop || this.#phase === 'starting') this.beginStop(this.#phaseStartedAt, 'unanswered');
  }

  /**
   * Places a waiting task on a worker that may execute an earlier start of it, and enters the phase `stopping`: the task
   * holds its resources there until the worker has confirmed the stop and reports no run.
   *
   * @param worker - incarnation that may execute the start
   * @param now - monotonic time in milliseconds
   */
  public holdForStop(worker: Worker, now: number): void {
    this.place(worker, this.#run, now);
    this.beginStop(now, 'unanswered');
  }

  /** Whether the time since the start of the run covers the whole task: false after an adoption or a checkpoint. */
  public get hasFullDuration(): boolean {
    return this.#hasFullDuration;
  }

  /**
   * Records that the worker runs the task.
   *
   * @param now - monotonic time in milliseconds
   */
  public confirmStart(now: number): void {
    this.#isStartConfirmed = true;
    if (this.#phase !== 'starting') return;
    this.#runStartedAt = now;
    this.#enterPhase('running', now);
  }

  /**
   * Records that the worker reports the run.
   *
   * @param now - monotonic time in milliseconds
   */
  public confirmReport(now: number): void {
    this.#isReported = true;
    this.confirmStart(now);
  }

  /**
   * Updates the run from a report of the worker.
   *
   * @param percent - progress in percent
   * @param checkpoint - latest checkpoint; empty if there is none
   * @param load - reported load: tail latency of a serving task, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  public updateProgress(percent: number, checkpoint: string, load: number, now: number): void {
    if (percent !== this.#percent) this.#progressChangedAt = now;
    this.#reportedAt = now;
    this.#percent = percent;
    this.#load = load;
    if (checkpoint !== '') this.#checkpoint = checkpoint;
  }

  /** Reason of the last stop. */
  public get stopReason(): StopReason {
    return this.#stopReason;
  }

  /**
   * Enters the phase `stopping`; does nothing if the run is already being stopped.
   *
   * @param now - monotonic time in milliseconds
   * @param reason - reason of the stop
   */
  public beginStop(now: number, reason: StopReason): void {
    if (this.#phase === 'stopping') return;
    this.#stopReason = reason;
    this.#stopConfirmedAt = undefined;
    this.#enterPhase('stopping', now);
  }

  /**
   * Records that the worker confirmed the stop. The resources are freed only once the worker no longer reports the run.
   *
   * @param now - monotonic time in milliseconds
   */
  public confirmStop(now: number): void {
    this.#stopConfirmedAt = now;
  }

  /** Whether an earlier run has completed the task while a later run is still being stopped. */
  public get isDoneElsewhere(): boolean {
    return this.#isDoneElsewhere;
  }

  /**
   * Records that an earlier run has completed the task. The current run is stopped; it holds its resources until then,
   * and only its end moves the task to `done`.
   *
   * @param now - monotonic time in milliseconds
   */
  public completeAfterStop(now: number): void {
    this.#isDoneElsewhere = true;
    this.beginStop(now, 'doneElsewhere');
  }

  /**
   * Removes the task from its worker; it waits again, unless an earlier run has completed it.
   *
   * @param checkpoint - checkpoint at the end of the run; empty if there is none
   * @param now - monotonic time in milliseconds
   */
  public release(checkpoint: string, now: number): void {
    if (checkpoint !== '') this.#checkpoint = checkpoint;
    this.#leaveWorker();
    this.#enterPhase(this.#isDoneElsewhere ? 'done' : 'waiting', now);
  }

  /**
   * Completes the task and removes it from its worker.
   *
   * @param now - monotonic time in milliseconds
   */
  public complete(now: number): void {
    this.#leaveWorker();
    this.#enterPhase('done', now);
  }

  /**
   * Records a failed run. A run whose end is reported repeatedly counts once.
   *
   * @param run - number of the run
   */
  public addFailedRun(run: number): void {
    this.#failedRuns.add(run);
  }

  /**
   * Raises the run number, so that numbers keep increasing after a change of the leader.
   *
   * @param run - run number that is already in use
   */
  public raiseRunNumber(run: number): void {
    this.#run = Math.max(this.#run, run);
  }

  /**
   * Sets the checkpoint from which the next run resumes; the members of a gang share one.
   *
   * @param checkpoint - checkpoint; empty to start from the beginning
   */
  public resumeFrom(checkpoint: string): void {
    this.#checkpoint = checkpoint;
  }

  #enterPhase(phase: TaskPhase, now: number): void {
    this.step.recordPhaseChange(this.#phase, phase);
    this.#phase = phase;
    this.#phaseStartedAt = now;
  }

  #leaveWorker(): void {
    if (this.#worker === undefined) return;
    this.#worker.removeTask(this);
    this.step.job.account.add(this.step.description.size, -1);
    this.#worker = undefined;
  }
}
