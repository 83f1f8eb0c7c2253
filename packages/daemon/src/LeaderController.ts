import {
  DeclaredDurations,
  findViolations,
  LearnedDurations,
  Scheduler,
  type StoreItem,
} from '@toucanline/jobs';
import type { JobState, SiteConfiguration } from '@toucanline/schema';
import { AdviceDispatcher } from './AdviceDispatcher.js';
import { AllowanceMonitor } from './AllowanceMonitor.js';
import { StoreChangeHandler } from './StoreChangeHandler.js';
import { WorkerSessions } from './WorkerSessions.js';
import { JobCleanup } from './JobCleanup.js';
import { DurationReporter } from './DurationReporter.js';
import { DurationStore } from './DurationStore.js';
import { computePlanningPause } from './computePlanningPause.js';
import { ForecastSender } from './ForecastSender.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { CommandDispatcher } from './CommandDispatcher.js';
import { ProgressWriter } from './ProgressWriter.js';
import { RosterManager } from './RosterManager.js';
import { StateLoader } from './StateLoader.js';
import { EvacuationWatch } from './EvacuationWatch.js';
import { PrefixWatch } from './PrefixWatch.js';
import { runGuarded } from './runGuarded.js';
import { storeKeys } from './storeKeys.js';

/** Runs the leader for one term: loads the stored state, surveys the workers, then plans and dispatches commands. */
export class LeaderController {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #sessions: WorkerSessions;
  readonly #changeHandler: StoreChangeHandler;
  readonly #adviceDispatcher: AdviceDispatcher;
  readonly #loader: StateLoader;
  readonly #watches: PrefixWatch[] = [];
  #progressWriter: ProgressWriter | undefined;
  #planTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  readonly #rosterManager: RosterManager;
  readonly #commandDispatcher: CommandDispatcher;
  readonly #cleanup: JobCleanup;
  readonly #durationStore: DurationStore;
  readonly #durationReporter: DurationReporter;
  /** Undefined if data centres are not evacuated. */
  readonly #evacuationWatch: EvacuationWatch | undefined;
  readonly #allowanceMonitor: AllowanceMonitor;
  /** Undefined if no host refuses submissions by a forecast. */
  readonly #forecastSender: ForecastSender | undefined;
  #lastPlanAt = 0;
  /** Duration of the last planning pass, in milliseconds. */
  #lastPlanMs = 0;
  #isLoaded = false;
  #isStopped = false;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param configuration - newest configuration; undefined if none is known yet
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    configuration: SiteConfiguration | undefined,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = new Scheduler(
      leaderLease.term,
      leaderLease.holderRevision,
      performance.now(),
      dependencies.times.worker,
      dependencies.durationEstimates === 'learned'
        ? new LearnedDurations()
        : new DeclaredDurations(),
    );
    const { store, log, metrics } = dependencies;
    this.#durationStore = new DurationStore(store, this.#scheduler, leaderLease, log);
    this.#durationReporter = new DurationReporter(this.#scheduler, metrics, log);
    const { listPeerLinks, onForecast } = dependencies;
    this.#forecastSender =
      onForecast && new ForecastSender(this.#scheduler, metrics, listPeerLinks, onForecast);
    const schedulePlan = (): void => {
      this.#schedulePlan();
    };
    const { evacuation } = dependencies.times;
    this.#evacuationWatch =
      evacuation &&
      new EvacuationWatch({
        store: dependencies.store,
        prefix: dependencies.decoder.evacuationPrefix,
        times: evacuation,
        evacuations: this.#scheduler.evacuations,
        log: dependencies.log,
        metrics: dependencies.metrics,
        onChange: schedulePlan,
      });
    this.#sessions = new WorkerSessions(
      {
        scheduler: this.#scheduler,
        workerClient: dependencies.workerClient,
        reportWaitMs: dependencies.times.reportWaitMs,
        ...(evacuation !== undefined && { idleReportMs: hostLimits.idleReportMs }),
        leaderLease,
        log: dependencies.log,
        onChange: schedulePlan,
        onFenced: () => {
          dependencies.onLeaseLost('a worker has seen a newer fencing token');
        },
      },
      dependencies.processors,
    );
    this.#rosterManager = new RosterManager(
      dependencies,
      leaderLease,
      this.#scheduler,
      schedulePlan,
    );
    this.#commandDispatcher = new CommandDispatcher(
      dependencies,
      leaderLease,
      this.#scheduler,
      (worker) => this.#sessions.find(worker),
      schedulePlan,
      () => this.#evacuationWatch?.startTimeLeftMs ?? Infinity,
    );
    this.#allowanceMonitor = new AllowanceMonitor(
      this.#scheduler.capAllowances,
      dependencies.log,
      dependencies.metrics,
    );
    this.#cleanup = new JobCleanup(dependencies, leaderLease, this.#scheduler);
    this.#changeHandler = new StoreChangeHandler(
      dependencies,
      leaderLease,
      this.#scheduler,
      this.#cleanup,
      (worker) => {
        this.#sessions.add(worker);
      },
    );
    this.#loader = new StateLoader(
      dependencies,
      leaderLease,
      this.#scheduler,
      this.#changeHandler,
      this.#rosterManager,
      (worker) => {
        this.#sessions.add(worker);
      },
    );
    if (configuration !== undefined) this.configure(configuration);
    this.#adviceDispatcher = new AdviceDispatcher(
      dependencies.advisor,
      dependencies.listPeerLinks,
      (command, permits) => {
        this.#scheduler.handlePermits(command, permits, performance.now(), command.validMs);
        this.#schedulePlan();
      },
      dependencies.log,
    );
  }

  /** Whether the stored state is loaded, so that queries about jobs have complete results. */
  public get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Applies a new configuration.
   *
   * @param configuration - newest configuration
   */
  public configure(configuration: SiteConfiguration): void {
    this.#scheduler.configure(configuration);
    this.#schedulePlan();
  }

  /** Loads the stored state, with retries, and starts to schedule. */
  public async start(): Promise<void> {
    void this.#durationStore.start();
    this.#evacuationWatch?.start();
    while (!this.#isStopped && !(await this.#loadState())) {
      if (this.#loader.ageMs > hostLimits.leaderLoadTimeoutMs) {
        await this.#dependencies.onResign('the stored state was not loaded in time');
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
    }
    if (this.#isStopped) return;
    this.#isLoaded = true;
    this.#changeHandler.markLoaded();
    this.#idleTimer = setInterval(() => {
      if (this.#shouldHandOver) void this.#handOver();
      this.#schedulePlan();
    }, hostLimits.maxPlanIntervalMs);
    this.#cleanup.start();
    this.#schedulePlan();
  }

  /** Stops at once without writing pending progress, because the leader lease is lost. */
  public stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#planTimer);
    clearInterval(this.#idleTimer);
    this.#loader.stop();
    this.#cleanup.stop();
    this.#commandDispatcher.stop();
    this.#adviceDispatcher.stop();
    this.#progressWriter?.stop();
    this.#durationStore.stop();
    this.#dependencies.metrics.clearBacklog();
    for (const watch of this.#watches) watch.stop();
    this.#sessions.stopAll();
    this.#evacuationWatch?.stop();
    if (this.#evacuationWatch !== undefined)
      this.#dependencies.metrics.setBlockedSteps('evacuation', 0);
    this.#allowanceMonitor.stop();
  }

  /** Stops planning and writes pending progress, before the leader lease is given up. */
  public async flushProgress(): Promise<void> {
    clearInterval(this.#idleTimer);
    clearTimeout(this.#planTimer);
    await Promise.all([this.#progressWriter?.flush(), this.#durationStore.flush()]);
  }

  /**
   * Adds a job that a host has just accepted.
   *
   * @param key - key of the job in the store
   * @param value - stored job record, as JSON
   * @param revision - store revision of the record
   */
  public addAnnouncedJob(key: string, value: string, revision: number): void {
    // While the state is being loaded, the job is part of what is read from the store.
    if (!this.#isLoaded || this.findState(key.slice(storeKeys.jobPrefix.length)) !== undefined)
      return;
    this.#changeHandler.applyJob({ key, value, revision });
    this.#schedulePlan();
  }

  /**
   * Finds the state of a job as callers see it.
   *
   * @param id - job id
   * @returns its state; undefined if the job is not known
   */
  public findState(id: string): JobState | undefined {
    return this.#scheduler.findJobState(id);
  }

  /**
   * Counts the jobs of a queue that have not started.
   *
   * @param queue - queue name
   * @returns the number of jobs
   */
  public countWaiting(queue: string): number {
    return this.#scheduler.countWaitingJobs(queue);
  }

  async #loadState(): Promise<boolean> {
    const { store, decoder, log } = this.#dependencies;
    const revisions = await this.#loader.load();
    if (revisions === undefined) return false;
    this.#progressWriter = new ProgressWriter(
      store,
      this.#scheduler,
      this.#leaderLease,
      revisions.progressOrder,
      log,
      {
        onWritten: () => {
          this.#handleProgressWritten();
        },
        onAllowancesRaised: () => {
          this.#schedulePlan();
        },
        onLeaseLost: () => {
          this.#dependencies.onLeaseLost('the store has another leader');
        },
      },
    );
    this.#watchPrefix(storeKeys.jobPrefix, revisions.jobs, (item) => {
      this.#changeHandler.applyJob(item);
    });
    this.#watchPrefix(decoder.workerPrefix, revisions.workers, (item) => {
      this.#changeHandler.applyWorker(item);
    });
    return true;
  }

  #watchPrefix(prefix: string, revision: number, apply: (item: StoreItem) => void): void {
    const { store, log } = this.#dependencies;
    const onError = (error: unknown): void => {
      log.writeError(prefix, error);
    };
    const watch = new PrefixWatch(store, prefix, hostLimits.leaderWatchMs, {
      onError,
      onSnapshot: (items) => {
        for (const item of items)
          runGuarded(() => {
            apply(item);
          }, onError);
        if (prefix === this.#dependencies.decoder.workerPrefix)
          this.#changeHandler.unlistAbsentWorkers(items);
        this.#schedulePlan();
      },
      onChange: (item) => {
        apply(item);
        this.#schedulePlan();
      },
    });
    this.#watches.push(watch);
    void watch.run(revision);
  }

  /** Whether a host that can carry the leader much better has a link to this one. */
  get #shouldHandOver(): boolean {
    if (this.#loader.ageMs < hostLimits.minLeadershipMs) return false;
    if (!this.#leaderLease.isValid) return false;
    const { listPeerLinks, isOutranked } = this.#dependencies;
    return listPeerLinks().some(
      ({ peer, isClosed }) => !isClosed && isOutranked(peer?.leaderFitness ?? 0),
    );
  }

  async #handOver(): Promise<void> {
    await this.flushProgress();
    if (!this.#isStopped) await this.#dependencies.onResign('a fitter host can lead');
  }

  /** Schedules a planning pass, unless one is scheduled already. */
  #schedulePlan(): void {
    if (this.#planTimer !== undefined || this.#isStopped || !this.#isLoaded) return;
    const plannedAt = this.#lastPlanAt + this.#lastPlanMs + computePlanningPause(this.#lastPlanMs);
    const waitMs = Math.max(0, plannedAt - performance.now());
    this.#planTimer = setTimeout(() => {
      this.#planTimer = undefined;
      runGuarded(
        () => {
          this.#plan();
        },
        (error) => {
          this.#dependencies.log.writeError('planning', error);
        },
      );
    }, waitMs);
  }

  #plan(): void {
    if (this.#isStopped || !this.#leaderLease.canIssueCommands) return;
    this.#lastPlanAt = performance.now();
    this.#changeHandler.applyDeferred();
    this.#sessions.update(this.#scheduler.workers);
    this.#rosterManager.update(this.#lastPlanAt);
    this.#evacuationWatch?.update();
    const commands = this.#scheduler.plan(this.#lastPlanAt, Date.now(), this.#leaderLease.isValid);
    const violations = findViolations(commands, this.#scheduler.evacuations);
    for (const { rule, task, worker } of violations) {
      this.#dependencies.log.write('invariantViolated', { rule, task, worker });
    }
    this.#commandDispatcher.dispatch(commands, this.#lastPlanAt);
    this.#adviceDispatcher.setTurns(this.#scheduler.turnKeys);
    for (const command of commands)
      if (command.kind === 'advise') this.#adviceDispatcher.dispatch(command);
    if (this.#evacuationWatch !== undefined) this.#reportBlockedSteps();
    this.#progressWriter?.requestWrite();
    this.#durationReporter.update(this.#lastPlanAt);
    this.#allowanceMonitor.update(this.#lastPlanAt);
    // A leader whose lease is not current may not know of jobs that its successor serves.
    if (this.#leaderLease.isValid) this.#forecastSender?.update(this.#lastPlanAt);
    this.#lastPlanMs = performance.now() - this.#lastPlanAt;
    this.#scheduler.recordPassDuration(this.#lastPlanMs);
  }

  #reportBlockedSteps(): void {
    const { log, metrics } = this.#dependencies;
    const { blockedSteps, evacuations } = this.#scheduler;
    metrics.setBlockedSteps('evacuation', blockedSteps.count);
    for (const { key, job, description, waitingCount } of blockedSteps.takeAdded())
      log.write('stepBlockedByEvacuation', {
        request: job.id,
        step: key,
        dataCentres: [...evacuations.dataCentres].join(' '),
        label: description.requiredLabel ?? '',
        tasks: waitingCount,
      });
  }

  #handleProgressWritten(): void {
    this.#sessions.wakeAll();
    this.#schedulePlan();
  }
}
