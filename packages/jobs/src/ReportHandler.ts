import type { Room, RunEnd, RunReport, WorkerReport } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** A run on a worker that belongs to no task and must be stopped. */
interface StrayRun {
  readonly task: string;
  readonly run: number;
}

/** Handles the reports of workers: updates tasks from the running and the ended runs. */
export class ReportHandler {
  readonly #jobs: JobRegistry;
  readonly #durations: DurationEstimates;
  readonly #markUnwritten: (job: Job) => void;
  readonly #findMaxAttempts: (job: Job) => number;
  readonly #maxStopMs: number;
  readonly #mustStopFirst: (task: Task) => boolean;

  /**
   * @param jobs - known jobs
   * @param durations - learns from the runs
   * @param markUnwritten - called for jobs whose progress must be written to the store
   * @param findMaxAttempts - returns the number of failed runs of one task at which its job fails
   * @param maxStopMs - longest time that a worker takes to stop a run, in milliseconds
   * @param mustStopFirst - checks whether a start of a task may still be executed, so that no run of it is adopted
   */
  public constructor(
    jobs: JobRegistry,
    durations: DurationEstimates,
    markUnwritten: (job: Job) => void,
    findMaxAttempts: (job: Job) => number,
    maxStopMs: number,
    mustStopFirst: (task: Task) => boolean,
  ) {
    this.#maxStopMs = maxStopMs;
    this.#mustStopFirst = mustStopFirst;
    this.#jobs = jobs;
    this.#durations = durations;
    this.#markUnwritten = markUnwritten;
    this.#findMaxAttempts = findMaxAttempts;
  }

  /**
   * Handles a report.
   *
   * @param worker - worker that sent the report
   * @param report - running tasks and ended runs
   * @param sentAt - monotonic time at which the report was requested, in milliseconds; effects of later commands may be
   * missing from it
   * @param now - monotonic time in milliseconds
   * @param wallMs - Unix time in milliseconds
   * @returns stray runs: they belong to no task and must be stopped
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
    worker.recordListedEnds(report.ended.at(-1)?.number ?? 0);
    const strays = report.running.filter((run) => !this.#handleRun(worker, run, now));
    worker.setStrayResources(
      strays.reduce<Room>(
        (sum, { task }) => resources.add(sum, this.#findSize(task, worker)),
        resources.none,
      ),
    );
    // A full page of ends may hide later ones: a missing run then proves nothing.
    if (report.ended.length < schedulingLimits.maxListedEnds)
      this.#releaseMissingTasks(worker, report, sentAt, now);
    return strays.map(({ task, run }) => ({ task, run }));
  }

  /** Finds the resources of a stray run. One of an unknown job may use the whole worker. */
  #findSize(name: string, worker: Worker): Room {
    return this.#jobs.findTask(name)?.step.description.size ?? worker.entry.capacity;
  }

  /** Updates or adopts the task of a running run; returns false if the run belongs to no task. */
  #handleRun(worker: Worker, report: RunReport, now: number): boolean {
    const task = this.#jobs.findTask(report.task);
    if (task === undefined) return false;
    if (task.worker === worker && task.run === report.run) {
      task.updateProgress(report.percent, report.checkpoint, report.load, now);
      task.confirmReport(now);
      task.step.job.markStarted();
      return true;
    }
    task.raiseRunNumber(report.run);
    // A lower number than the latest one would be used again, and a delayed stop could then stop the newer run.
    if (task.phase !== 'waiting' || task.run > report.run) return false;
    if (this.#mustStopFirst(task)) return false;
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
    if (isCurrent) this.#releaseCutShort(task, end.checkpoint, now);
  }

  #complete(task: Task, isCurrent: boolean, now: number, wallMs: number): void {
    const { step } = task;
    // The members of a gang end together, so the reported end of one completes all.
    const finished = step.description.isGang === true ? step.tasks : [task];
    for (const each of finished) {
      if (each.phase === 'done') continue;
      // A partitioned worker reports a completed run late, after the task was started again on another worker.
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
    if (task.hasFullDuration) this.#durations.recordDone(task, now - task.runStartedAt, now);
  }

  /** Releases a task whose run ended without completing it. */
  #releaseCutShort(task: Task, checkpoint: string, now: number): void {
    if (task.hasFullDuration) this.#durations.recordCutShort(task, task.reportedRunMs, now);
    task.release(checkpoint, now);
  }

  /** Releases tasks that the report would list if they were still on the worker. */
  #releaseMissingTasks(worker: Worker, report: WorkerReport, sentAt: number, now: number): void {
    const running = new Set(report.running.map(({ task, run }) => `${task}/${run}`));
    for (const task of [...worker.tasks]) {
      if (running.has(`${task.name}/${task.run}`)) continue;
      // A run that is being stopped may be in neither list, but still holds its resources.
      const isStopped =
        task.stopConfirmedAt !== undefined && task.stopConfirmedAt + this.#maxStopMs <= sentAt;
      const isMissing = task.phase === 'running' && task.phaseStartedAt <= sentAt;
      if ((task.phase === 'stopping' && isStopped) || isMissing)
        this.#releaseCutShort(task, '', now);
    }
  }
}
