import { findViolations, Scheduler, type StoreItem } from '@toucanline/jobs';
import { validators, type JobState, type SiteConfiguration } from '@toucanline/schema';
import { AdviceDispatcher } from './AdviceDispatcher.js';
import { StoreChangeHandler } from './StoreChangeHandler.js';
import { WorkerSessions } from './WorkerSessions.js';
import { JobCleanup } from './JobCleanup.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import { CommandDispatcher } from './CommandDispatcher.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { ProgressWriter } from './ProgressWriter.js';
import { RosterManager } from './RosterManager.js';
import { PrefixWatch } from './PrefixWatch.js';
import { storeKeys } from './storeKeys.js';

/** Pause after a planning pass as a multiple of its duration: reports and calls get two thirds of the processor. */
const planPauseFactor = 2;

/** The leader's work during one term: reads what is known, surveys the workers, schedules. */
export class LeaderController {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #sessions: WorkerSessions;
  readonly #changes: StoreChangeHandler;
  readonly #advice: AdviceDispatcher;
  readonly #watches: PrefixWatch[] = [];
  readonly #permitValidityMs = new Map<string, number>();
  #progressWriter: ProgressWriter | undefined;
  #planTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  readonly #roster: RosterManager;
  readonly #dispatcher: CommandDispatcher;
  readonly #cleanup: JobCleanup;
  #lastPlanAt = 0;
  /** Duration of the last planning pass. */
  #lastPlanMs = 0;
  #isLoaded = false;
  #isStopped = false;

  /**
   * @param parts - what it needs of its host
   * @param claim - claim of the term
   * @param configuration - newest configuration, if any is known
   */
  public constructor(
    parts: LeaderDependencies,
    claim: LeaderLease,
    configuration: SiteConfiguration | undefined,
  ) {
    this.#dependencies = parts;
    this.#leaderLease = claim;
    this.#scheduler = new Scheduler(
      claim.term,
      claim.holderRevision,
      performance.now(),
      parts.stopMs,
    );
    const changed = (): void => {
      this.#schedulePlan();
    };
    this.#sessions = new WorkerSessions({
      scheduler: this.#scheduler,
      control: parts.control,
      leaderLease: claim,
      log: parts.log,
      onChange: changed,
      onFenced: () => {
        parts.lost('a worker has seen a newer fencing token');
      },
    });
    this.#roster = new RosterManager(parts, claim, this.#scheduler, changed);
    this.#dispatcher = new CommandDispatcher(
      parts,
      claim,
      this.#scheduler,
      (worker) => this.#sessions.find(worker),
      changed,
    );
    this.#cleanup = new JobCleanup(parts, claim, this.#scheduler);
    this.#changes = new StoreChangeHandler(
      parts,
      claim,
      this.#scheduler,
      this.#cleanup,
      (worker) => {
        this.#sessions.add(worker);
      },
    );
    if (configuration !== undefined) this.configure(configuration);
    this.#advice = new AdviceDispatcher(
      parts.advisor,
      parts.listPeerLinks,
      (order, permits) => {
        const validMs = this.#permitValidityMs.get(order.queue) ?? 0;
        this.#scheduler.handlePermits(order, permits, performance.now(), validMs);
        this.#schedulePlan();
      },
      parts.log,
    );
  }

  /** Whether the stored jobs were read, so that answers are complete. */
  public get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** @param configuration - newest configuration */
  public configure(configuration: SiteConfiguration): void {
    this.#scheduler.configure(configuration);
    for (const { name, advice } of configuration.queues) {
      if (advice !== undefined) this.#permitValidityMs.set(name, advice.validMs);
    }
    this.#schedulePlan();
  }

  /** Reads the state and starts to schedule. */
  public async start(): Promise<void> {
    while (!this.#isStopped && !(await this.#loadState())) {
      await new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
    }
    if (this.#isStopped) return;
    this.#isLoaded = true;
    this.#changes.markLoaded();
    this.#idleTimer = setInterval(() => {
      this.#schedulePlan();
    }, hostLimits.maxPlanIntervalMs);
    this.#cleanup.start();
    this.#schedulePlan();
  }

  /** Stops without finishing anything: the claim is lost. */
  public stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#planTimer);
    clearInterval(this.#idleTimer);
    this.#cleanup.stop();
    this.#dispatcher.stop();
    this.#progressWriter?.stop();
    for (const feed of this.#watches) feed.stop();
    this.#sessions.stopAll();
  }

  /** Writes what is known of ends, before the claim is given back. */
  public async flushProgress(): Promise<void> {
    clearInterval(this.#idleTimer);
    clearTimeout(this.#planTimer);
    await this.#progressWriter?.flush();
  }

  /**
   * Takes a job that another host has just accepted.
   *
   * @param key - key of the job in the store
   * @param value - stored value
   * @param revision - revision of the store
   */
  public addAnnouncedJob(key: string, value: string, revision: number): void {
    // Before the state is loaded the job is among what is read.
    if (!this.#isLoaded || this.findState(key.slice(storeKeys.jobPrefix.length)) !== undefined)
      return;
    this.#changes.applyJob({ key, value, revision });
    this.#schedulePlan();
  }

  /**
   * Finds the state that callers see.
   *
   * @param id - the job
   * @returns its state; undefined if it is not known
   */
  public findState(id: string): JobState | undefined {
    return this.#scheduler.findJobState(id);
  }

  /**
   * Counts the jobs of a queue that have not begun.
   *
   * @param queue - name of the queue
   * @returns their number
   */
  public countWaiting(queue: string): number {
    return this.#scheduler.countWaitingJobs(queue);
  }

  async #loadState(): Promise<boolean> {
    const { store, decoder: operator, log } = this.#dependencies;
    const startedAt = performance.now();
    const [roster, suspensions, placements, progress, jobs, workers] = await Promise.all([
      store.read(storeKeys.roster),
      store.read(storeKeys.suspensions),
      store.read(storeKeys.placements),
      store.list(storeKeys.progressPrefix),
      store.list(storeKeys.jobPrefix),
      store.list(operator.workerPrefix),
    ]);
    if (this.#isStopped) return false;
    if (roster.isErr() || suspensions.isErr() || placements.isErr()) return false;
    if (progress.isErr() || jobs.isErr() || workers.isErr()) return false;
    const now = performance.now();
    for (const item of progress.value.items) this.#changes.applyProgress(item, now);
    for (const item of jobs.value.items) this.#changes.applyJob(item);
    const known = this.#roster.restore(roster.value, suspensions.value);
    for (const worker of known) this.#sessions.add(worker);
    const placed = placements.value?.value;
    const inherited =
      placed === undefined ? undefined : parseStoredRecord(validators.Placements, placed);
    if (inherited !== undefined) this.#scheduler.restorePlacements(inherited);
    for (const item of workers.value.items) this.#changes.applyWorker(item);
    this.#changes.unlistAbsentWorkers(workers.value.items);
    this.#progressWriter = new ProgressWriter(
      store,
      this.#scheduler,
      this.#leaderLease,
      placements.value?.revision ?? 0,
      log,
      () => {
        this.#handleProgressWritten();
      },
      () => {
        this.#dependencies.lost('the store has another leader');
      },
    );
    this.#watchPrefix(storeKeys.jobPrefix, jobs.value.revision, (item) => {
      this.#changes.applyJob(item);
    });
    this.#watchPrefix(operator.workerPrefix, workers.value.revision, (item) => {
      this.#changes.applyWorker(item);
    });
    log.write('leaderLoaded', {
      term: this.#leaderLease.term,
      jobs: jobs.value.items.length,
      progress: progress.value.items.length,
      workers: workers.value.items.length,
      inherited: known.length,
      suspended: known.filter(({ isSuspended }) => isSuspended).length,
      durationMs: Math.round(performance.now() - startedAt),
    });
    return true;
  }

  #watchPrefix(prefix: string, revision: number, take: (item: StoreItem) => void): void {
    const feed = new PrefixWatch(this.#dependencies.store, prefix, hostLimits.leaderWatchMs, {
      onSnapshot: (items) => {
        for (const item of items) take(item);
        if (prefix === this.#dependencies.decoder.workerPrefix)
          this.#changes.unlistAbsentWorkers(items);
        this.#schedulePlan();
      },
      onChange: (item) => {
        take(item);
        this.#schedulePlan();
      },
    });
    this.#watches.push(feed);
    void feed.run(revision);
  }

  /** Plans soon, at most once in the planning interval. */
  #schedulePlan(): void {
    if (this.#planTimer !== undefined || this.#isStopped || !this.#isLoaded) return;
    const pauseMs = Math.max(hostLimits.minPlanIntervalMs, this.#lastPlanMs * planPauseFactor);
    const waitMs = Math.max(0, this.#lastPlanAt + this.#lastPlanMs + pauseMs - performance.now());
    this.#planTimer = setTimeout(() => {
      this.#planTimer = undefined;
      this.#plan();
    }, waitMs);
  }

  #plan(): void {
    if (this.#isStopped || !this.#leaderLease.canIssueCommands) return;
    this.#lastPlanAt = performance.now();
    this.#changes.applyDeferred();
    this.#sessions.update(this.#scheduler.workers);
    this.#roster.update(this.#lastPlanAt);
    const orders = this.#scheduler.plan(this.#lastPlanAt, Date.now(), this.#leaderLease.isValid);
    for (const { rule, task, worker } of findViolations(orders)) {
      this.#dependencies.log.write('invariantViolated', { rule, task, worker });
    }
    this.#dispatcher.dispatch(orders, this.#lastPlanAt);
    for (const order of orders) if (order.kind === 'advise') this.#advice.dispatch(order);
    this.#progressWriter?.requestWrite();
    this.#lastPlanMs = performance.now() - this.#lastPlanAt;
  }

  #handleProgressWritten(): void {
    this.#sessions.wakeAll();
    this.#schedulePlan();
  }
}
