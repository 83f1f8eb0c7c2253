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
import { EndIntake } from './EndIntake.js';
import { ImageDurations } from './ImageDurations.js';
import { Inheritance } from './Inheritance.js';
import type { Job } from './Job.js';
import { JobBook } from './JobBook.js';
import { JobTerms } from './JobTerms.js';
import type { Order } from './Order.js';
import { PermitBook } from './PermitBook.js';
import { Planner } from './Planner.js';
import { ProgressLedger } from './ProgressLedger.js';
import { RunStops } from './RunStops.js';
import { schedulingLimits } from './schedulingLimits.js';
import { StartIntake } from './StartIntake.js';
import type { StartOutcome } from './StartOutcome.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';
import { WorkerEnds } from './WorkerEnds.js';
import { WorkerPool } from './WorkerPool.js';

/** Decisions of the leader: takes what is known, gives orders. */
export class Scheduler {
  /** Progress that waits to be written. */
  public readonly progress: ProgressLedger;
  readonly #book = new JobBook();
  readonly #pool = new WorkerPool();
  readonly #terms = new JobTerms();
  readonly #permits = new PermitBook();
  readonly #durations = new ImageDurations();
  readonly #intake: EndIntake;
  readonly #starts = new StartIntake(this.#permits);
  readonly #planner: Planner;
  readonly #stops = new RunStops();
  readonly #inheritance: Inheritance;
  readonly #ends: WorkerEnds;
  readonly #stopMs: number;
  /** Run numbers of this term are higher than all of earlier terms. */
  readonly #firstRun: number;

  /**
   * @param term - fencing token of this leader
   * @param claimRevision - revision of the store at which it became leader
   * @param now - monotonic time
   * @param stopMs - longest time that a worker takes to stop a run, in milliseconds
   */
  public constructor(term: number, claimRevision: number, now: number, stopMs: number) {
    this.#stopMs = stopMs;
    this.progress = new ProgressLedger(this.#book, this.#pool);
    this.#inheritance = new Inheritance(this.#book, claimRevision, now);
    this.#ends = new WorkerEnds(this.#pool, this.#inheritance);
    this.#firstRun = (term - 1) * schedulingLimits.runsPerTerm + 1;
    this.#intake = new EndIntake(
      this.#book,
      this.#durations,
      (job) => {
        this.progress.add(job);
      },
      (job) => this.#terms.find(job)?.maxAttempts ?? Infinity,
      stopMs,
    );
    this.#planner = new Planner(
      this.#book,
      this.#pool,
      this.#terms,
      this.#permits,
      this.#durations,
      (job, service) => this.#inheritance.isHeld(job, service),
      this.#firstRun,
    );
  }

  /** Workers that may run something. */
  public get workers(): readonly Worker[] {
    return this.#pool.all;
  }

  /** @param configuration - newest configuration */
  public configure(configuration: SiteConfiguration): void {
    this.#terms.configure(configuration.queues);
    this.#book.configure(configuration);
  }

  /**
   * Takes a job's record.
   *
   * @param record - the record
   * @param revision - revision at which the record was created
   * @param now - monotonic time
   */
  public addJob(record: JobRecord, revision: number, now: number): void {
    this.#book.add(record, revision, now);
  }

  /** @param id - job whose record was removed */
  public removeJob(id: string): void {
    this.#book.remove(id);
  }

  /**
   * Takes the progress that an earlier leader wrote.
   *
   * @param progress - the progress
   * @param now - monotonic time
   */
  public restore(progress: JobProgress, now: number): void {
    this.#book.restore(progress, now);
  }

  /**
   * Takes a worker's entry.
   *
   * @param entry - the entry
   * @param isInherited - whether the previous leader may have given orders to the worker
   * @param remainingMs - longest time for which something may run there, if the previous leader had suspended it
   * @returns the worker, if it must be surveyed
   */
  public updateWorker(
    entry: WorkerEntry,
    isInherited: boolean,
    remainingMs?: number,
  ): Worker | undefined {
    const worker = this.#pool.update(entry);
    if (worker !== undefined && isInherited) this.#inheritance.add(worker, remainingMs);
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
    const lapsesAt = worker.isSurveyed ? worker.lapsesAt : this.#inheritance.lapseOf(worker);
    return Math.max(0, (lapsesAt ?? now) - now);
  }

  /**
   * Takes what the previous leader wrote of the workers: their speeds, and what counts against caps until they are
   * surveyed.
   *
   * @param placements - the last that was written
   */
  public inheritPlacements(placements: Placements): void {
    this.#inheritance.countPlacements(placements, this.#pool);
    for (const { worker: id, life, factor } of placements.speeds ?? []) {
      const worker = this.#pool.find(id);
      if (worker?.life === life) worker.speed.inherit(factor);
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
  public takeReport(
    worker: Worker,
    report: WorkerReport,
    sentAt: number,
    now: number,
    wallMs: number,
  ): ReturnType<EndIntake['take']> {
    // A report that was under way when the incarnation ended would place its runs again.
    if (this.#ends.has(worker)) return [];
    worker.noteContact(report.clockMs, now);
    if (report.life !== worker.life) {
      if (report.life > worker.life) this.endLife(worker);
      return [];
    }
    const strays = this.#intake.take(worker, report, sentAt, now, wallMs);
    // Its predecessor's stops are fenced from now on, but those before may still be under way.
    if (this.#inheritance.lapseOf(worker) !== undefined) worker.settleAt(now + this.#stopMs);
    worker.noteSurvey();
    this.#inheritance.forget(worker);
    return strays;
  }

  /**
   * Takes the outcome of a start order.
   *
   * @param order - the order
   * @param outcome - its outcome
   * @param now - monotonic time
   */
  public takeStart(
    order: Extract<Order, { kind: 'start' }>,
    outcome: StartOutcome,
    now: number,
  ): void {
    if (outcome === 'otherLife') this.endLife(order.worker);
    this.#starts.take(order, outcome, now);
  }

  /**
   * Takes the outcome of a stop order.
   *
   * @param task - the task
   * @param run - the run
   * @param isConfirmed - whether the worker confirmed it
   * @param now - monotonic time
   */
  public takeStop(task: Task, run: number, isConfirmed: boolean, now: number): void {
    if (task.run !== run || task.phase !== 'stopping') return;
    if (isConfirmed) task.confirmStop(now);
  }

  /**
   * Notes that an incarnation of a worker has ended: whatever it ran is gone.
   *
   * @param worker - the worker
   */
  public endLife(worker: Worker): void {
    this.#ends.add(worker);
  }

  /**
   * Takes an answer of the advice service.
   *
   * @param order - what was asked
   * @param permits - the permits; undefined without an answer
   * @param now - monotonic time
   * @param validMs - validity in milliseconds
   */
  public takePermits(
    order: Extract<Order, { kind: 'advise' }>,
    permits: readonly PlacementPermit[] | undefined,
    now: number,
    validMs: number,
  ): void {
    if (permits === undefined) this.#permits.noteFailure(order.stepKey, now);
    else this.#permits.noteAnswer(order.stepKey, order.workers, permits, now + validMs);
  }

  /**
   * Finds the state that callers see.
   *
   * @param id - the job
   * @returns its state, if it is known
   */
  public findState(id: string): JobState | undefined {
    return this.#book.find(id)?.shownState;
  }

  /**
   * Lists finished jobs that nobody asks for any more.
   *
   * @param finishedBefore - Unix time in milliseconds
   * @returns their ids
   */
  public listExpired(finishedBefore: number): readonly string[] {
    return this.#book.listExpired(finishedBefore);
  }

  /**
   * Counts the jobs of a queue none of whose tasks started.
   *
   * @param queue - name of the queue
   * @returns their number
   */
  public countWaiting(queue: string): number {
    return this.#book.countWaiting(queue);
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
  public plan(now: number, wallMs: number, isCurrent = true): readonly Order[] {
    if (isCurrent) this.#ends.release(now);
    for (const job of [...this.#book.open]) {
      job.openDue(wallMs);
      if (!job.isFinished && job.settle(wallMs)) this.progress.add(job);
    }
    const stops = this.#stops.collect(this.#pool.all, now);
    for (const job of this.#book.open) if (job.isFinished) this.#closeJob(job);
    const planned = this.#planner.plan(now);
    for (const order of planned) if (order.kind === 'stop') this.#stops.noteSent(order.task, now);
    return [...stops, ...planned];
  }

  #closeJob(job: Job): void {
    for (const { key } of job.steps) this.#permits.forget(key);
    this.#book.close(job);
  }
}
