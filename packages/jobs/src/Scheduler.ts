import type {
  JobProgress,
  JobRecord,
  JobState,
  PlacementPermit,
  Placements,
  SiteConfiguration,
  WorkerEntry,
  WorkerReport,
} from '@toucanline/schema';
import { ReportHandler } from './ReportHandler.js';
import { ImageDurations } from './ImageDurations.js';
import { InheritedWorkers } from './InheritedWorkers.js';
import type { Job } from './Job.js';
import { JobRegistry } from './JobRegistry.js';
import { QueueSettings } from './QueueSettings.js';
import type { Command } from './Command.js';
import { PermitCache } from './PermitCache.js';
import { Planner } from './Planner.js';
import { PendingProgress } from './PendingProgress.js';
import { RunStopper } from './RunStopper.js';
import { schedulingLimits } from './schedulingLimits.js';
import { StartOutcomeHandler } from './StartOutcomeHandler.js';
import type { StartOutcome } from './StartOutcome.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';
import { EndedWorkers } from './EndedWorkers.js';
import { WorkerPool } from './WorkerPool.js';

/** Decisions of the leader: takes what is known, gives orders. */
export class Scheduler {
  /** Progress that waits to be written. */
  public readonly progress: PendingProgress;
  readonly #jobs = new JobRegistry();
  readonly #pool = new WorkerPool();
  readonly #queues = new QueueSettings();
  readonly #permits = new PermitCache();
  readonly #durations = new ImageDurations();
  readonly #reportHandler: ReportHandler;
  readonly #startOutcomeHandler = new StartOutcomeHandler(this.#permits);
  readonly #planner: Planner;
  readonly #runStopper = new RunStopper();
  readonly #inheritedWorkers: InheritedWorkers;
  readonly #endedWorkers: EndedWorkers;
  readonly #maxStopMs: number;
  /** Run numbers of this term are higher than all of earlier terms. */
  readonly #firstRunNumber: number;

  /**
   * @param term - fencing token of this leader
   * @param claimRevision - revision of the store at which it became leader
   * @param now - monotonic time
   * @param stopMs - longest time that a worker takes to stop a run, in milliseconds
   */
  public constructor(term: number, claimRevision: number, now: number, stopMs: number) {
    this.#maxStopMs = stopMs;
    this.progress = new PendingProgress(this.#jobs, this.#pool);
    this.#inheritedWorkers = new InheritedWorkers(this.#jobs, claimRevision, now);
    this.#endedWorkers = new EndedWorkers(this.#pool, this.#inheritedWorkers);
    this.#firstRunNumber = (term - 1) * schedulingLimits.runsPerTerm + 1;
    this.#reportHandler = new ReportHandler(
      this.#jobs,
      this.#durations,
      (job) => {
        this.progress.add(job);
      },
      (job) => this.#queues.findQueue(job)?.maxAttempts ?? Infinity,
      stopMs,
    );
    this.#planner = new Planner(
      this.#jobs,
      this.#pool,
      this.#queues,
      this.#permits,
      this.#durations,
      (job, service) => this.#inheritedWorkers.canStillRun(job, service),
      this.#firstRunNumber,
    );
  }

  /** Workers that may run something. */
  public get workers(): readonly Worker[] {
    return this.#pool.all;
  }

  /** @param configuration - newest configuration */
  public configure(configuration: SiteConfiguration): void {
    this.#queues.configure(configuration.queues);
    this.#jobs.configure(configuration);
  }

  /**
   * Takes a job's record.
   *
   * @param record - the record
   * @param revision - revision at which the record was created
   * @param now - monotonic time
   */
  public addJob(record: JobRecord, revision: number, now: number): void {
    this.#jobs.add(record, revision, now);
  }

  /** @param id - job whose record was removed */
  public removeJob(id: string): void {
    this.#jobs.remove(id);
  }

  /**
   * Takes the progress that an earlier leader wrote.
   *
   * @param progress - the progress
   * @param now - monotonic time
   */
  public restoreProgress(progress: JobProgress, now: number): void {
    this.#jobs.restoreProgress(progress, now);
  }

  /**
   * Takes a worker's entry.
   *
   * @param entry - the entry
   * @param isInherited - whether the previous leader may have given orders to the worker
   * @param computeRemainingMs - longest time for which something may run there, if the previous leader had suspended it
   * @returns the worker, if it must be surveyed
   */
  public updateWorker(
    entry: WorkerEntry,
    isInherited: boolean,
    computeRemainingMs?: number,
  ): Worker | undefined {
    const worker = this.#pool.update(entry);
    if (worker !== undefined && isInherited) this.#inheritedWorkers.add(worker, computeRemainingMs);
    return worker;
  }

  /**
   * Tells how long something may still run on a worker that gets no further order.
   *
   * @param worker - the worker
   * @param now - monotonic time
   * @returns milliseconds
   */
  public remainingMs(worker: Worker, now: number): number {
    const lapsesAt = worker.isSurveyed
      ? worker.leasesExpireAt
      : this.#inheritedWorkers.findLeaseExpiry(worker);
    return Math.max(0, (lapsesAt ?? now) - now);
  }

  /**
   * Takes what the previous leader wrote of the workers: their speeds, and what counts against caps until they are
   * surveyed.
   *
   * @param placements - the last that was written
   */
  public restorePlacements(placements: Placements): void {
    this.#inheritedWorkers.countPlacements(placements, this.#pool);
    for (const { worker: id, life, factor } of placements.speeds ?? []) {
      const worker = this.#pool.find(id);
      if (worker?.life === life) worker.speed.restore(factor);
    }
  }

  /** @param id - worker that the platform no longer lists */
  public unlistWorker(id: string): void {
    this.#pool.find(id)?.unlist();
  }

  /**
   * Takes a worker's report.
   *
   * @param worker - the worker
   * @param report - the report
   * @param sentAt - when it was asked for
   * @param now - monotonic time
   * @param wallMs - Unix time in milliseconds
   * @returns runs that are to be stopped
   */
  public handleReport(
    worker: Worker,
    report: WorkerReport,
    sentAt: number,
    now: number,
    wallMs: number,
  ): ReturnType<ReportHandler['handleReport']> {
    // A report that was under way when the incarnation ended would place its runs again.
    if (this.#endedWorkers.has(worker)) return [];
    worker.recordContact(report.clockMs, now);
    if (report.life !== worker.life) {
      if (report.life > worker.life) this.endIncarnation(worker);
      return [];
    }
    const strays = this.#reportHandler.handleReport(worker, report, sentAt, now, wallMs);
    // Its predecessor's stops are fenced from now on, but those before may still be under way.
    if (this.#inheritedWorkers.findLeaseExpiry(worker) !== undefined)
      worker.confirmCapacityAt(now + this.#maxStopMs);
    worker.markSurveyed();
    this.#inheritedWorkers.remove(worker);
    return strays;
  }

  /**
   * Takes the outcome of a start order.
   *
   * @param order - the order
   * @param outcome - its outcome
   * @param now - monotonic time
   */
  public handleStartOutcome(
    order: Extract<Command, { kind: 'start' }>,
    outcome: StartOutcome,
    now: number,
  ): void {
    if (outcome === 'otherLife') this.endIncarnation(order.worker);
    this.#startOutcomeHandler.handleOutcome(order, outcome, now);
  }

  /**
   * Takes the outcome of a stop order.
   *
   * @param task - the task
   * @param run - the run
   * @param isConfirmed - whether the worker confirmed it
   * @param now - monotonic time
   */
  public handleStopOutcome(task: Task, run: number, isConfirmed: boolean, now: number): void {
    if (task.run !== run || task.phase !== 'stopping') return;
    if (isConfirmed) task.confirmStop(now);
  }

  /**
   * Notes that an incarnation of a worker has ended: whatever it ran is gone.
   *
   * @param worker - the worker
   */
  public endIncarnation(worker: Worker): void {
    this.#endedWorkers.add(worker);
  }

  /**
   * Takes an answer of the advice service.
   *
   * @param order - what was asked
   * @param permits - the permits; undefined without an answer
   * @param now - monotonic time
   * @param validMs - validity in milliseconds
   */
  public handlePermits(
    order: Extract<Command, { kind: 'advise' }>,
    permits: readonly PlacementPermit[] | undefined,
    now: number,
    validMs: number,
  ): void {
    if (permits === undefined) this.#permits.recordFailure(order.stepKey, now);
    else this.#permits.recordAnswer(order.stepKey, order.workers, permits, now + validMs);
  }

  /**
   * Finds the state that callers see.
   *
   * @param id - the job
   * @returns its state, if it is known
   */
  public findJobState(id: string): JobState | undefined {
    return this.#jobs.find(id)?.publishedState;
  }

  /**
   * Lists finished jobs that nobody asks for any more.
   *
   * @param finishedBefore - Unix time in milliseconds
   * @returns their ids
   */
  public listExpiredJobs(finishedBefore: number): readonly string[] {
    return this.#jobs.listExpired(finishedBefore);
  }

  /**
   * Counts the jobs of a queue none of whose tasks started.
   *
   * @param queue - name of the queue
   * @returns their number
   */
  public countWaitingJobs(queue: string): number {
    return this.#jobs.countWaiting(queue);
  }

  /**
   * Plans one pass.
   *
   * @param now - monotonic time
   * @param wallMs - Unix time in milliseconds
   * @param isCurrent - whether the claim is. Without, a successor may know better what runs, or ended, on workers
   * that this leader does not reach, so nothing that was placed there is placed again.
   * @returns orders
   */
  public plan(now: number, wallMs: number, isCurrent = true): readonly Command[] {
    if (isCurrent) this.#endedWorkers.releaseExpired(now);
    for (const job of [...this.#jobs.openJobs]) {
      job.openDueOccurrences(wallMs);
      if (!job.isFinished && job.finishIfEnded(wallMs)) this.progress.add(job);
    }
    const stops = this.#runStopper.collectStops(this.#pool.all, now);
    for (const job of this.#jobs.openJobs) if (job.isFinished) this.#closeJob(job);
    const planned = this.#planner.plan(now);
    for (const order of planned)
      if (order.kind === 'stop') this.#runStopper.recordSent(order.task, now);
    return [...stops, ...planned];
  }

  #closeJob(job: Job): void {
    for (const { key } of job.steps) this.#permits.removeStep(key);
    this.#jobs.markFinished(job);
  }
}
