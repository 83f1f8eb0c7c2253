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
import { CapAllowances } from './accounts/CapAllowances.js';
import { ReportHandler } from './ReportHandler.js';
import { BacklogForecast } from './backlog/BacklogForecast.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import { LearnedDurations } from './durations/LearnedDurations.js';
import { FencingTokens } from './membership/FencingTokens.js';
import { LateStarts } from './membership/LateStarts.js';
import { UnreadWorkers } from './membership/UnreadWorkers.js';
import { InheritedWorkers } from './InheritedWorkers.js';
import type { Job } from './Job.js';
import { JobRegistry } from './JobRegistry.js';
import { QueueServices } from './QueueServices.js';
import { QueueSettings } from './QueueSettings.js';
import type { QueueTerms } from './QueueTerms.js';
import type { Command } from './Command.js';
import { describePlacements } from './describePlacements.js';
import { PermitCache } from './PermitCache.js';
import { Planner } from './Planner.js';
import type { BlockedSteps } from './placement/BlockedSteps.js';
import { Evacuations } from './placement/Evacuations.js';
import { PendingProgress } from './PendingProgress.js';
import { PendingSteps } from './PendingSteps.js';
import { RunStopper } from './RunStopper.js';
import { schedulingLimits } from './schedulingLimits.js';
import { StartOutcomeHandler } from './StartOutcomeHandler.js';
import type { StartOutcome } from './StartOutcome.js';
import type { Worker } from './Worker.js';
import { EndedWorkers } from './EndedWorkers.js';
import type { WorkerBounds } from './WorkerBounds.js';
import { WorkerPool } from './WorkerPool.js';

/**
 * Makes the scheduling decisions of the leader: receives records, reports and outcomes, and returns commands. It has
 * no I/O and no clock of its own.
 */
export class Scheduler {
  /** Progress that is not yet written to the store. */
  public readonly progress: PendingProgress;
  /** Services on whose workers tasks of each queue may run. */
  public readonly queueServices: QueueServices;
  /** Forecast of when a job that arrives now would be served. */
  public readonly forecast: BacklogForecast;
  /** Expected durations of tasks. */
  public readonly durations: DurationEstimates;
  /** Data centres on whose workers nothing starts. */
  public readonly evacuations = new Evacuations();
  /** Allowances within which tasks of accounts with a cap start. */
  public readonly capAllowances: CapAllowances;
  readonly #jobs = new JobRegistry();
  readonly #pool: WorkerPool;
  readonly #queues = new QueueSettings();
  readonly #permits = new PermitCache();
  readonly #reportHandler: ReportHandler;
  readonly #startOutcomeHandler: StartOutcomeHandler;
  readonly #lateStarts: LateStarts;
  readonly #unreadWorkers: UnreadWorkers;
  readonly #planner: Planner;
  readonly #runStopper: RunStopper;
  readonly #inheritedWorkers: InheritedWorkers;
  readonly #endedWorkers: EndedWorkers;
  readonly #maxStopMs: number;
  /** Monotonic time of the current planning pass, in milliseconds. */
  #plannedAt = 0;
  /** Lowest run number of this term, higher than every run number of earlier terms. */
  readonly #firstRunNumber: number;

  /**
   * @param term - term of this leader
   * @param electionRevision - revision of the store at which this leader was elected
   * @param now - monotonic time in milliseconds
   * @param bounds - times that hold for all workers of the site
   * @param durations - expected durations of tasks
   */
  public constructor(
    term: number,
    electionRevision: number,
    now: number,
    bounds: WorkerBounds,
    durations: DurationEstimates = new LearnedDurations(),
  ) {
    const { maxStopMs, maxLeaseMs } = bounds;
    this.durations = durations;
    this.#runStopper = new RunStopper(durations);
    this.#maxStopMs = maxStopMs;
    this.#pool = new WorkerPool(maxLeaseMs, new FencingTokens(term));
    this.progress = new PendingProgress(this.#jobs, this.#pool);
    this.#inheritedWorkers = new InheritedWorkers(this.#jobs, electionRevision, now, maxLeaseMs);
    this.capAllowances = new CapAllowances(this.#jobs, this.#inheritedWorkers, maxStopMs);
    this.queueServices = new QueueServices(
      this.#queues,
      this.#jobs,
      this.#pool,
      this.#inheritedWorkers,
    );
    this.#lateStarts = new LateStarts(this.#pool, maxLeaseMs);
    this.#unreadWorkers = new UnreadWorkers(this.#pool);
    this.#startOutcomeHandler = new StartOutcomeHandler(this.#permits, this.#lateStarts);
    this.#endedWorkers = new EndedWorkers(
      this.#pool,
      this.#inheritedWorkers,
      durations,
      this.#lateStarts,
      this.#unreadWorkers,
    );
    this.#firstRunNumber = (term - 1) * schedulingLimits.runsPerTerm + 1;
    this.#reportHandler = new ReportHandler(
      this.#jobs,
      durations,
      (job) => {
        this.progress.add(job);
      },
      (job) => this.#queues.findQueue(job)?.maxAttempts ?? Infinity,
      maxStopMs,
      (task) => this.#lateStarts.isPending(task),
    );
    const pendingSteps = new PendingSteps(this.#jobs, this.#queues, durations, (job, queue) =>
      this.#isHeld(job, queue),
    );
    this.forecast = new BacklogForecast(pendingSteps, this.#pool, durations, now);
    this.#planner = new Planner(
      this.#jobs,
      this.#pool,
      this.#queues,
      this.#permits,
      durations,
      (job, queue) => this.#isHeld(job, queue),
      this.#firstRunNumber,
      this.evacuations,
      this.#lateStarts,
    );
  }

  /** Workers that may run tasks, unlisted ones with unexpired leases included. */
  public get workers(): readonly Worker[] {
    return this.#pool.all;
  }

  /** Steps that wait for the end of an evacuation. */
  public get blockedSteps(): BlockedSteps {
    return this.#planner.blockedSteps;
  }

  /** Number of changes of the usage of accounts with a cap. It changes whenever the usage does. */
  public get cappedUsageChanges(): number {
    let count = 0;
    for (const { cappedChangeCount } of this.#jobs.accounts) count += cappedChangeCount;
    return count;
  }

  /**
   * Applies a configuration.
   *
   * @param configuration - latest configuration of the site
   */
  public configure(configuration: SiteConfiguration): void {
    this.#queues.configure(configuration.queues);
    this.#jobs.configure(configuration);
  }

  /**
   * Adds a job, or applies the cancellation of a known one.
   *
   * @param record - record of the job in the store
   * @param revision - store revision at which the record was created
   * @param now - monotonic time in milliseconds
   */
  public addJob(record: JobRecord, revision: number, now: number): void {
    this.#jobs.add(record, revision, now);
  }

  /**
   * Removes a job.
   *
   * @param id - id of the job whose record was removed from the store
   */
  public removeJob(id: string): void {
    this.#jobs.remove(id);
  }

  /**
   * Restores the progress that a previous leader wrote.
   *
   * @param progress - progress of one job, as stored
   * @param now - monotonic time in milliseconds
   */
  public restoreProgress(progress: JobProgress, now: number): void {
    this.#jobs.restoreProgress(progress, now);
  }

  /**
   * Adds or updates a worker.
   *
   * @param entry - entry of the worker in the platform's list
   * @param isInherited - whether the previous leader may have sent commands to the worker
   * @param maxRemainingMs - longest time for which runs may continue there, in milliseconds, if the previous leader had
   * suspended the worker
   * @param revision - store revision of the entry; without it the entry counts as newer than those before
   * @returns the worker if the incarnation is new and must be surveyed; undefined otherwise
   */
  public updateWorker(
    entry: WorkerEntry,
    isInherited: boolean,
    maxRemainingMs?: number,
    revision?: number,
  ): Worker | undefined {
    const previous = this.#pool.find(entry.id);
    // An entry that follows one in the store shows that the incarnation of that one has ended. The entry of an
    // incarnation that only a report has shown is still missing, so this one may be older.
    const hasEnded = previous?.hasEntry ?? true;
    const worker = this.#pool.update(entry, revision);
    if (worker !== undefined && previous !== undefined)
      this.#endedWorkers.replace(previous, worker, hasEnded);
    if (worker !== undefined && isInherited) this.#inheritedWorkers.add(worker, maxRemainingMs);
    return worker;
  }

  /**
   * Makes all jobs accepted before the election wait for the longest lease, because the previous leader's list of
   * workers cannot be read.
   */
  public assumeUnknownWorkers(): void {
    this.#inheritedWorkers.assumeUnknownWorkers();
  }

  /**
   * Checks whether a worker must be asked for reports: it runs tasks, has run ends to acknowledge, or may execute a start
   * late, so that its restart must be noticed.
   *
   * @param worker - worker to check
   * @returns whether its next report is needed
   */
  public isReportNeeded(worker: Worker): boolean {
    const { tasks, hasStrays, isSurveyed, isListed, callFailures, acknowledgement } = worker;
    // A worker that did not answer stays suspended until it does, also after its tasks were released.
    const isUnreachable = isListed && callFailures > 0;
    return (
      tasks.size > 0 ||
      hasStrays ||
      !isSurveyed ||
      isUnreachable ||
      this.#unreadWorkers.has(worker) ||
      worker.processedThrough > worker.acknowledgedThrough ||
      acknowledgement > 0 ||
      this.hasLateStarts(worker)
    );
  }

  /**
   * Checks whether a refused command was overtaken by a later one of this leader. Otherwise another leader has taken over.
   *
   * @param worker - worker that refused the command
   * @param token - fencing token of the command
   * @returns whether this leader has issued a higher token for the worker
   */
  public isOvertaken(worker: Worker, token: number): boolean {
    return (this.#pool.find(worker.id)?.fence.token ?? Infinity) > token;
  }

  /**
   * Checks whether a worker may execute a start late.
   *
   * @param worker - worker to check
   * @returns whether it is asked for reports although it may be idle
   */
  public hasLateStarts(worker: Worker): boolean {
    return this.#lateStarts.hasAny(worker);
  }

  /**
   * Computes how long runs may continue on a worker that gets no further commands or leases.
   *
   * @param worker - worker to check
   * @param now - monotonic time in milliseconds
   * @returns time in milliseconds; 0 if nothing can run there any more
   */
  public computeRemainingMs(worker: Worker, now: number): number {
    const expiresAt =
      worker.isSurveyed || worker.tasks.size > 0
        ? worker.leasesExpireAt
        : this.#inheritedWorkers.findLeaseExpiry(worker);
    return Math.max(0, (expiresAt ?? now) - now);
  }

  /**
   * Restores what the previous leader wrote about the workers: their speeds, and the usage and allowances that count
   * against account caps until the workers are surveyed.
   *
   * @param placements - last placements that were written to the store; undefined if they are missing or cannot be
   * decoded
   */
  public restorePlacements(placements: Placements | undefined): void {
    this.capAllowances.restore(placements);
    if (placements === undefined) return;
    this.#inheritedWorkers.countPlacements(placements, this.#pool);
    for (const { worker: id, life, factor } of placements.speeds ?? []) {
      const worker = this.#pool.find(id);
      if (worker?.life === life) worker.speed.restore(factor);
    }
  }

  /**
   * Describes the placements for the next leader, and begins a write of the allowances.
   *
   * @param isFinal - whether nothing is started after the write
   * @returns placements to write
   */
  public beginPlacementsWrite(isFinal: boolean): Placements {
    const allowances = this.capAllowances.beginWrite(isFinal);
    const placements = describePlacements(this.#pool, this.#jobs.accounts);
    return { ...placements, ...(allowances === undefined ? {} : { allowances }) };
  }

  /**
   * Marks a worker as no longer listed.
   *
   * @param id - id of the worker that the platform no longer lists
   */
  public unlistWorker(id: string): void {
    this.#pool.find(id)?.unlist();
  }

  /**
   * Handles a worker's report.
   *
   * @param worker - worker that sent the report
   * @param report - running tasks and ended runs
   * @param sentAt - monotonic time at which the report was requested, in milliseconds
   * @param now - monotonic time in milliseconds
   * @param wallMs - Unix time in milliseconds
   * @returns stray runs, which must be stopped
   */
  public handleReport(
    worker: Worker,
    report: WorkerReport,
    sentAt: number,
    now: number,
    wallMs: number,
  ): ReturnType<ReportHandler['handleReport']> {
    // A report that was in flight when the incarnation ended would place its runs again.
    if (this.#endedWorkers.has(worker)) return [];
    worker.recordContact(report.clockMs, now);
    if (report.life !== worker.life) {
      // The request was sent after this leader had learned of the known incarnation, so the other one is newer.
      this.#endedWorkers.replace(worker, this.#pool.addReported(worker, report.life), true);
      return [];
    }
    this.#pool.confirmIncarnation(worker);
    this.#lateStarts.handleReport(worker, report, sentAt);
    const strays = this.#reportHandler.handleReport(worker, report, sentAt, now, wallMs);
    const isInherited = this.#inheritedWorkers.findLeaseExpiry(worker) !== undefined;
    this.capAllowances.recordReport(worker, strays, isInherited, now);
    // The worker now fences stops of the previous leader, but earlier ones may still be in progress.
    if (isInherited) worker.confirmCapacityAt(now + this.#maxStopMs);
    if (isInherited && worker.processedThrough === 0) worker.markNumberingUnknown();
    worker.fence.confirmIncarnation(sentAt);
    // A full page of ends may hide the end of a run that this leader must not start again.
    if (report.ended.length >= schedulingLimits.maxListedEnds) return strays;
    worker.markSurveyed();
    this.#unreadWorkers.recordReport(worker, sentAt);
    this.#inheritedWorkers.remove(worker);
    return strays;
  }

  /**
   * Handles the outcome of a start command.
   *
   * @param command - start command that was sent
   * @param outcome - outcome of the call
   * @param now - monotonic time in milliseconds
   */
  public handleStartOutcome(
    command: Extract<Command, { kind: 'start' }>,
    outcome: StartOutcome,
    now: number,
  ): void {
    if (outcome === 'otherLife') this.endIncarnation(command.worker);
    this.#startOutcomeHandler.handleOutcome(command, outcome, now);
  }

  /**
   * Handles the outcome of a stop command.
   *
   * @param command - stop command that was sent
   * @param isConfirmed - whether the worker confirmed the stop
   * @param now - monotonic time in milliseconds
   */
  public handleStopOutcome(
    command: Extract<Command, { kind: 'stop' }>,
    isConfirmed: boolean,
    now: number,
  ): void {
    if (isConfirmed) this.#lateStarts.confirmStop(command);
    const { task, worker, run } = command;
    // The next incarnation of the worker does not know of a stop that the earlier one confirmed.
    if (task.worker !== worker || task.run !== run || task.phase !== 'stopping') return;
    if (isConfirmed) task.confirmStop(now);
  }

  /**
   * Records that an incarnation of a worker has ended, and with it everything that it ran.
   *
   * @param worker - incarnation that has ended
   */
  public endIncarnation(worker: Worker): void {
    this.#endedWorkers.add(worker);
  }

  /**
   * Handles a response of the placement advisor.
   *
   * @param command - request for permits that was sent
   * @param permits - granted permits; undefined if there was no response
   * @param now - monotonic time in milliseconds
   * @param validMs - validity of the permits in milliseconds
   */
  public handlePermits(
    command: Extract<Command, { kind: 'advise' }>,
    permits: readonly PlacementPermit[] | undefined,
    now: number,
    validMs: number,
  ): void {
    if (permits === undefined) this.#permits.recordFailure(command.stepKey, now);
    else this.#permits.recordAnswer(command.stepKey, command.workers, permits, now + validMs);
  }

  /**
   * Finds the state of a job that callers see.
   *
   * @param id - id of the job
   * @returns published state; undefined if the job is unknown
   */
  public findJobState(id: string): JobState | undefined {
    return this.#jobs.find(id)?.publishedState;
  }

  /**
   * Lists finished jobs whose retention period is over.
   *
   * @param finishedBefore - Unix time in milliseconds; jobs that finished earlier are listed
   * @returns ids of the jobs
   */
  public listExpiredJobs(finishedBefore: number): readonly string[] {
    return this.#jobs.listExpired(finishedBefore);
  }

  /**
   * Counts the unfinished jobs of a queue that have not started any task.
   *
   * @param queue - name of the queue
   * @returns number of jobs
   */
  public countWaitingJobs(queue: string): number {
    return this.#jobs.countWaiting(queue);
  }

  /**
   * Runs one planning pass.
   *
   * @param now - monotonic time in milliseconds
   * @param wallMs - Unix time in milliseconds
   * @param isCurrent - whether the leader lease is current. Otherwise a successor may know better what runs, or has
   * ended, on workers that this leader cannot reach, so tasks that were placed there are not placed again.
   * @returns commands to carry out; started tasks are already placed
   */
  public plan(now: number, wallMs: number, isCurrent = true): readonly Command[] {
    this.#plannedAt = now;
    if (isCurrent) this.#endedWorkers.releaseExpired(now);
    for (const job of [...this.#jobs.openJobs]) {
      job.openDueOccurrences(wallMs);
      if (!job.isFinished && job.finishIfEnded(wallMs)) this.progress.add(job);
    }
    const lateStops = this.#lateStarts.update(now);
    const stops = this.#runStopper.collectStops(this.#pool.all, now);
    for (const job of this.#jobs.openJobs) if (job.isFinished) this.#closeJob(job);
    this.capAllowances.apply(now, isCurrent);
    // Nothing starts while another data centre may have been evacuated; stops go on.
    const planned = this.evacuations.isConfirmed ? this.#planner.plan(now) : [];
    this.capAllowances.updateTargets(now);
    for (const command of planned)
      if (command.kind === 'stop') this.#runStopper.recordSent(command.task, command.worker, now);
    return [...lateStops, ...stops, ...planned];
  }

  /** Keys of the steps whose requests for permits go before others, the first one first. */
  public get turnKeys(): readonly string[] {
    return this.#planner.turnKeys;
  }

  /**
   * Adapts later planning passes to the processor.
   *
   * @param durationMs - duration of the last pass and of sending its commands, in milliseconds
   */
  public recordPassDuration(durationMs: number): void {
    this.#planner.recordPassDuration(durationMs);
  }

  /**
   * Checks whether no tasks of a job may start: the next leader would not know where, tasks of the previous leader may
   * still run, or a worker that can be asked may list that they are done.
   */
  #isHeld(job: Job, queue: QueueTerms): boolean {
    return (
      this.#unreadWorkers.mustWait(job, this.#plannedAt) ||
      !this.queueServices.isStored(queue) ||
      this.#inheritedWorkers.canStillRun(job, (service) =>
        this.queueServices.mayHaveRunOn(queue, service),
      )
    );
  }

  #closeJob(job: Job): void {
    for (const { key } of job.steps) this.#permits.removeStep(key);
    this.#jobs.markFinished(job);
  }
}
