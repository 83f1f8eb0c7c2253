import type { Room, RunEnd, RunReport, WorkerReport } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { ImageDurations } from './ImageDurations.js';
import { resources } from './resources.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** A run on a worker that nothing may go on with. */
interface StrayRun {
  readonly task: string;
  readonly run: number;
}

/** Takes the reports of workers: which runs go on and which ended how. */
export class ReportHandler {
  readonly #jobs: JobRegistry;
  readonly #durations: ImageDurations;
  readonly #markUnwritten: (job: Job) => void;
  readonly #findMaxAttempts: (job: Job) => number;
  readonly #maxStopMs: number;

  /**
   * @param book - the jobs
   * @param durations - durations by image
   * @param markDirty - called for jobs whose progress must be written
   * @param attemptsOf - most failed runs of a task of the job
   * @param stopMs - longest time that a worker takes to stop a run, in milliseconds
   */
  public constructor(
    book: JobRegistry,
    durations: ImageDurations,
    markDirty: (job: Job) => void,
    attemptsOf: (job: Job) => number,
    stopMs: number,
  ) {
    this.#maxStopMs = stopMs;
    this.#jobs = book;
    this.#durations = durations;
    this.#markUnwritten = markDirty;
    this.#findMaxAttempts = attemptsOf;
  }

  /**
   * Takes a report.
   *
   * @param worker - the worker
   * @param report - what it runs and what ended
   * @param sentAt - when the report was asked for; what was ordered later may be missing in it
   * @param now - monotonic time
   * @param wallMs - Unix time in milliseconds
   * @returns runs that are to be stopped, since no task may have them
   */
  public handleReport(
    worker: Worker,
    report: WorkerReport,
    sentAt: number,
    now: number,
    wallMs: number,
  ): readonly StrayRun[] {
    for (const end of report.ended) {
      if (end.number > worker.processedThrough) this.#handleEnd(worker, end, now, wallMs);
      worker.markProcessed(end.number);
    }
    const strays = report.running.filter((run) => !this.#handleRun(worker, run, now));
    worker.setStrayResources(
      strays.reduce<Room>(
        (sum, { task }) => resources.add(sum, this.#findSize(task)),
        resources.none,
      ),
    );
    // A full page of ends hides later ones, so absence proves nothing then.
    if (report.ended.length < 500) this.#releaseMissingTasks(worker, report, sentAt, now);
    return strays.map(({ task, run }) => ({ task, run }));
  }

  #findSize(name: string): Room {
    return this.#jobs.findTask(name)?.step.description.size ?? resources.none;
  }

  /** Returns whether the run belongs to a task. */
  #handleRun(worker: Worker, report: RunReport, now: number): boolean {
    const task = this.#jobs.findTask(report.task);
    if (task === undefined) return false;
    if (task.worker === worker && task.run === report.run) {
      task.updateProgress(report.percent, report.checkpoint, report.load, now);
      task.confirmStart(now);
      task.step.job.markStarted();
      return true;
    }
    task.raiseRunNumber(report.run);
    if (task.phase !== 'waiting') return false;
    task.adopt(worker, report.run, now);
    task.updateProgress(report.percent, report.checkpoint, report.load, now);
    task.step.job.markStarted();
    return true;
  }

  #handleEnd(worker: Worker, end: RunEnd, now: number, wallMs: number): void {
    const task = this.#jobs.findTask(end.task);
    if (task === undefined || task.phase === 'done') return;
    const isCurrent = task.worker === worker && task.run === end.run;
    if (!isCurrent) task.raiseRunNumber(end.run);
    if (end.outcome === 'done') {
      if (isCurrent) this.#recordDuration(worker, task, now);
      this.#complete(task, isCurrent, now, wallMs);
      return;
    }
    if (task.isDoneElsewhere) {
      if (isCurrent) task.release('', now);
      return;
    }
    if (end.outcome === 'failed' && !task.step.description.isLongRunning) {
      this.#recordFailure(task, end.run, wallMs);
    }
    if (end.outcome === 'failed') worker.recordRunOutcome(true, now);
    if (isCurrent) task.release(end.checkpoint, now);
  }

  #complete(task: Task, isCurrent: boolean, now: number, wallMs: number): void {
    const { step } = task;
    // One reported end of a gang member stands for all members: they end together.
    const finished = step.description.isGang === true ? step.tasks : [task];
    for (const each of finished) {
      if (each.phase === 'done') continue;
      // A worker that was cut off tells late that it had finished; meanwhile the task was started again elsewhere.
      if (!isCurrent && each.isPlaced) each.completeAfterStop(now);
      else each.complete(now);
    }
    step.job.completeIfDone(wallMs);
    this.#markUnwritten(step.job);
  }

  #recordFailure(task: Task, run: number, wallMs: number): void {
    const { step } = task;
    const isGang = step.description.isGang === true;
    if (isGang) step.addFailedGangRun(run);
    else task.addFailedRun(run);
    const failed = isGang ? step.failedGangRuns : task.failedRuns;
    if (failed.size >= this.#findMaxAttempts(step.job)) step.job.finish('failed', wallMs);
    this.#markUnwritten(step.job);
  }

  #recordDuration(worker: Worker, task: Task, now: number): void {
    worker.recordRunOutcome(false, now);
    const { description, duration: work } = task.step;
    // A gang runs at the speed of all its workers, an opportunistic task at that of the room left over.
    if (
      !task.hasFullDuration ||
      description.isGang === true ||
      description.isOpportunistic === true
    )
      return;
    const { image, estimateMs } = description;
    const logMs = Math.log(Math.max(1, now - task.phaseStartedAt));
    const expected = work.estimate(this.#durations.estimate(image, estimateMs));
    worker.speed.observe(logMs - expected.logMs, expected.variance, now);
    work.record(logMs - worker.speed.logDurationFactor);
    this.#durations.record(image, Math.exp(logMs - worker.speed.logDurationFactor));
  }

  /** Takes tasks off the worker which it would list if it had them. */
  #releaseMissingTasks(worker: Worker, report: WorkerReport, sentAt: number, now: number): void {
    const running = new Set(report.running.map(({ task, run }) => `${task}/${run}`));
    for (const task of [...worker.tasks]) {
      if (running.has(`${task.name}/${task.run}`)) continue;
      // While a run is being stopped it may be on neither list, but takes room.
      const isStopped =
        task.stopConfirmedAt !== undefined && task.stopConfirmedAt + this.#maxStopMs <= sentAt;
      const isMissing = task.phase === 'running' && task.phaseStartedAt <= sentAt;
      if ((task.phase === 'stopping' && isStopped) || isMissing) task.release('', now);
    }
  }
}
