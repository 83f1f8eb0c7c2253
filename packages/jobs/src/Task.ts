import type { HostEvents, Room } from '@toucanline/schema';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/**
 * Phases of a task. `starting`: the order is under way or unanswered; `stopping`: the task occupies its worker
 * until its end is reported.
 */
type TaskPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'done';

/** Why a run is stopped. */
type StopReason = HostEvents['taskStopped']['reason'];

/** One task of a step. It belongs to at most one worker at a time and counts against its room until it left. */
export class Task {
  /** The step that it belongs to. */
  public readonly step: StepInstance;
  /** Number within the step, from 0. */
  public readonly index: number;
  /** Name on the workers: job, occurrence, step and index. */
  public readonly name: string;
  #phase: TaskPhase = 'waiting';
  #worker: Worker | undefined;
  #run = 0;
  #checkpoint = '';
  readonly #failedRuns = new Set<number>();
  #percent = 0;
  /** When the reported progress last changed. */
  #progressChangedAt = 0;
  #reportedAt = 0;
  #load = 0;
  #phaseStartedAt = 0;
  #stopConfirmedAt: number | undefined;
  #stopReason: StopReason = 'jobEnded';
  #isStartConfirmed = false;
  #isDoneElsewhere = false;
  #hasFullDuration = false;

  /**
   * @param step - the step
   * @param index - number within the step
   */
  public constructor(step: StepInstance, index: number) {
    this.step = step;
    this.index = index;
    this.name = `${step.key}.${index}`;
  }

  /** Where the task stands. */
  public get phase(): TaskPhase {
    return this.#phase;
  }

  /** The worker that it occupies, if any. */
  public get worker(): Worker | undefined {
    return this.#worker;
  }

  /** Number of the latest run. */
  public get run(): number {
    return this.#run;
  }

  /** Latest checkpoint; empty without one. */
  public get checkpoint(): string {
    return this.#checkpoint;
  }

  /** Numbers of the runs that ended as failed. */
  public get failedRuns(): ReadonlySet<number> {
    return this.#failedRuns;
  }

  /** Reported progress of the run. */
  public get percent(): number {
    return this.#percent;
  }

  /** How long the reports have shown no progress, in milliseconds; what happened since the last one is not known. */
  public get stalledMs(): number {
    return this.#reportedAt - Math.max(this.#progressChangedAt, this.#phaseStartedAt);
  }

  /** Reported load: tail latency of a serving task in milliseconds. */
  public get load(): number {
    return this.#load;
  }

  /** When the current phase began. */
  public get phaseStartedAt(): number {
    return this.#phaseStartedAt;
  }

  /** When the worker confirmed the stop of the current run, if it did. */
  public get stopConfirmedAt(): number | undefined {
    return this.#stopConfirmedAt;
  }

  /** What it occupies on its worker. Opportunistic tasks count no processors. */
  public get occupiedResources(): Room {
    const { size, isOpportunistic } = this.step.description;
    return isOpportunistic === true ? { ...size, milliProcessors: 0 } : size;
  }

  /** Whether the worker was seen to run the current run. */
  public get isStartConfirmed(): boolean {
    return this.#isStartConfirmed;
  }

  /** Whether it occupies a worker. */
  public get isPlaced(): boolean {
    return this.#worker !== undefined;
  }

  /**
   * Assigns the task to a worker.
   *
   * @param worker - the worker
   * @param run - number of the run
   * @param now - monotonic time
   */
  public place(worker: Worker, run: number, now: number): void {
    this.#worker = worker;
    this.#run = run;
    this.#percent = 0;
    this.#hasFullDuration = this.#checkpoint === '';
    this.#isStartConfirmed = false;
    this.#stopConfirmedAt = undefined;
    worker.addTask(this);
    this.step.job.account.add(this.step.description.size, 1);
    this.#enterPhase('starting', now);
  }

  /**
   * Takes over a run that an earlier leader started.
   *
   * @param worker - the worker that runs it
   * @param run - number of the run
   * @param now - monotonic time
   */
  public adopt(worker: Worker, run: number, now: number): void {
    this.place(worker, run, now);
    this.#hasFullDuration = false;
    this.confirmStart(now);
  }

  /** Whether the time since its start is the duration of the whole task. */
  public get hasFullDuration(): boolean {
    return this.#hasFullDuration;
  }

  /**
   * Notes that the worker runs the task.
   *
   * @param now - monotonic time
   */
  public confirmStart(now: number): void {
    this.#isStartConfirmed = true;
    if (this.#phase === 'starting') this.#enterPhase('running', now);
  }

  /**
   * Takes the worker's report on the run.
   *
   * @param percent - progress
   * @param checkpoint - latest checkpoint
   * @param load - reported load
   * @param now - monotonic time
   */
  public updateProgress(percent: number, checkpoint: string, load: number, now: number): void {
    if (percent !== this.#percent) this.#progressChangedAt = now;
    this.#reportedAt = now;
    this.#percent = percent;
    this.#load = load;
    if (checkpoint !== '') this.#checkpoint = checkpoint;
  }

  /** Why the run is being stopped. */
  public get stopReason(): StopReason {
    return this.#stopReason;
  }

  /**
   * Notes that the run is to be stopped.
   *
   * @param now - monotonic time
   * @param reason - why
   */
  public beginStop(now: number, reason: StopReason): void {
    if (this.#phase === 'stopping') return;
    this.#stopReason = reason;
    this.#stopConfirmedAt = undefined;
    this.#enterPhase('stopping', now);
  }

  /**
   * Notes that the worker confirmed the stop; the room is free once the run left its list.
   *
   * @param now - monotonic time
   */
  public confirmStop(now: number): void {
    this.#stopConfirmedAt = now;
  }

  /** Whether an earlier run is done while a later one is still being stopped. */
  public get isDoneElsewhere(): boolean {
    return this.#isDoneElsewhere;
  }

  /**
   * Notes that an earlier run is done. The current run takes room until it was stopped, and is done then as well.
   *
   * @param now - monotonic time
   */
  public completeAfterStop(now: number): void {
    this.#isDoneElsewhere = true;
    this.beginStop(now, 'doneElsewhere');
  }

  /**
   * Takes the task off its worker.
   *
   * @param checkpoint - checkpoint of the end, if any
   * @param now - monotonic time
   */
  public release(checkpoint: string, now: number): void {
    if (checkpoint !== '') this.#checkpoint = checkpoint;
    this.#leaveWorker();
    this.#enterPhase(this.#isDoneElsewhere ? 'done' : 'waiting', now);
  }

  /**
   * Notes that the task is done.
   *
   * @param now - monotonic time
   */
  public complete(now: number): void {
    this.#leaveWorker();
    this.#enterPhase('done', now);
  }

  /**
   * Notes a run that ended as failed; an end that is reported again counts once.
   *
   * @param run - number of the run
   */
  public addFailedRun(run: number): void {
    this.#failedRuns.add(run);
  }

  /**
   * Keeps run numbers rising after a change of the leader.
   *
   * @param run - number that was used before
   */
  public raiseRunNumber(run: number): void {
    this.#run = Math.max(this.#run, run);
  }

  /**
   * Sets the checkpoint that the members of a gang share.
   *
   * @param checkpoint - the checkpoint
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
