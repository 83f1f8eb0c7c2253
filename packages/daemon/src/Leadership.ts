import { findViolations, Scheduler, type StoreItem } from '@toucanline/jobs';
import { validators, type JobState, type SiteConfiguration } from '@toucanline/schema';
import { AdviceDispatcher } from './AdviceDispatcher.js';
import { ChangeIntake } from './ChangeIntake.js';
import { DriverSet } from './DriverSet.js';
import { ExpiredJobs } from './ExpiredJobs.js';
import { hostTimes } from './hostTimes.js';
import type { LeaderClaim } from './LeaderClaim.js';
import type { LeadershipParts } from './LeadershipParts.js';
import { OrderDispatcher } from './OrderDispatcher.js';
import { parseStored } from './parseStored.js';
import { ProgressWriter } from './ProgressWriter.js';
import { RosterKeeper } from './RosterKeeper.js';
import { StoreFeed } from './StoreFeed.js';
import { storeKeys } from './storeKeys.js';

/** Pause after a planning pass as a multiple of its duration: reports and calls get two thirds of the processor. */
const planPauseFactor = 2;

/** The leader's work during one term: reads what is known, surveys the workers, schedules. */
export class Leadership {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #drivers: DriverSet;
  readonly #changes: ChangeIntake;
  readonly #advice: AdviceDispatcher;
  readonly #feeds: StoreFeed[] = [];
  readonly #validMs = new Map<string, number>();
  #writer: ProgressWriter | undefined;
  #planTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  readonly #roster: RosterKeeper;
  readonly #dispatcher: OrderDispatcher;
  readonly #expired: ExpiredJobs;
  #plannedAt = 0;
  /** Duration of the last planning pass. */
  #planMs = 0;
  #isLoaded = false;
  #stopped = false;

  /**
   * @param parts - what it needs of its host
   * @param claim - claim of the term
   * @param configuration - newest configuration, if any is known
   */
  public constructor(
    parts: LeadershipParts,
    claim: LeaderClaim,
    configuration: SiteConfiguration | undefined,
  ) {
    this.#parts = parts;
    this.#claim = claim;
    this.#scheduler = new Scheduler(claim.term, claim.revision, performance.now(), parts.stopMs);
    const changed = (): void => {
      this.#changed();
    };
    this.#drivers = new DriverSet({
      scheduler: this.#scheduler,
      control: parts.control,
      claim,
      log: parts.log,
      changed,
      fenced: () => {
        parts.lost('a worker has seen a newer fencing token');
      },
    });
    this.#roster = new RosterKeeper(parts, claim, this.#scheduler, changed);
    this.#dispatcher = new OrderDispatcher(
      parts,
      claim,
      this.#scheduler,
      (worker) => this.#drivers.find(worker),
      changed,
    );
    this.#expired = new ExpiredJobs(parts, claim, this.#scheduler);
    this.#changes = new ChangeIntake(parts, claim, this.#scheduler, this.#expired, (worker) => {
      this.#drivers.add(worker);
    });
    if (configuration !== undefined) this.configure(configuration);
    this.#advice = new AdviceDispatcher(
      parts.advisor,
      parts.links,
      (order, permits) => {
        const validMs = this.#validMs.get(order.queue) ?? 0;
        this.#scheduler.handlePermits(order, permits, performance.now(), validMs);
        this.#changed();
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
      if (advice !== undefined) this.#validMs.set(name, advice.validMs);
    }
    this.#changed();
  }

  /** Reads the state and starts to schedule. */
  public async start(): Promise<void> {
    while (!this.#stopped && !(await this.#load())) {
      await new Promise((resolve) => setTimeout(resolve, hostTimes.watchRetryMs));
    }
    if (this.#stopped) return;
    this.#isLoaded = true;
    this.#changes.finishLoading();
    this.#idleTimer = setInterval(() => {
      this.#changed();
    }, hostTimes.planIdleMs);
    this.#expired.start();
    this.#changed();
  }

  /** Stops without finishing anything: the claim is lost. */
  public stop(): void {
    this.#stopped = true;
    clearTimeout(this.#planTimer);
    clearInterval(this.#idleTimer);
    this.#expired.stop();
    this.#dispatcher.stop();
    this.#writer?.stop();
    for (const feed of this.#feeds) feed.stop();
    this.#drivers.stop();
  }

  /** Writes what is known of ends, before the claim is given back. */
  public async finish(): Promise<void> {
    clearInterval(this.#idleTimer);
    clearTimeout(this.#planTimer);
    await this.#writer?.flush();
  }

  /**
   * Takes a job that another host has just accepted.
   *
   * @param key - key of the job in the store
   * @param value - stored value
   * @param revision - revision of the store
   */
  public announce(key: string, value: string, revision: number): void {
    // Before the state is loaded the job is among what is read.
    if (!this.#isLoaded || this.findState(key.slice(storeKeys.jobs.length)) !== undefined) return;
    this.#changes.takeJob({ key, value, revision });
    this.#changed();
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

  async #load(): Promise<boolean> {
    const { store, operator, log } = this.#parts;
    const startedAt = performance.now();
    const [roster, suspensions, placements, progress, jobs, workers] = await Promise.all([
      store.read(storeKeys.roster),
      store.read(storeKeys.suspensions),
      store.read(storeKeys.placements),
      store.list(storeKeys.progress),
      store.list(storeKeys.jobs),
      store.list(operator.workerPrefix),
    ]);
    if (this.#stopped) return false;
    if (roster.isErr() || suspensions.isErr() || placements.isErr()) return false;
    if (progress.isErr() || jobs.isErr() || workers.isErr()) return false;
    const now = performance.now();
    for (const item of progress.value.items) this.#changes.takeProgress(item, now);
    for (const item of jobs.value.items) this.#changes.takeJob(item);
    const known = this.#roster.inherit(roster.value, suspensions.value);
    for (const worker of known) this.#drivers.add(worker);
    const placed = placements.value?.value;
    const inherited = placed === undefined ? undefined : parseStored(validators.Placements, placed);
    if (inherited !== undefined) this.#scheduler.restorePlacements(inherited);
    for (const item of workers.value.items) this.#changes.takeWorker(item);
    this.#changes.unlistAbsent(workers.value.items);
    this.#writer = new ProgressWriter(
      store,
      this.#scheduler,
      this.#claim,
      placements.value?.revision ?? 0,
      log,
      () => {
        this.#afterWrite();
      },
      () => {
        this.#parts.lost('the store has another leader');
      },
    );
    this.#follow(storeKeys.jobs, jobs.value.revision, (item) => {
      this.#changes.takeJob(item);
    });
    this.#follow(operator.workerPrefix, workers.value.revision, (item) => {
      this.#changes.takeWorker(item);
    });
    log.write('leaderLoaded', {
      term: this.#claim.term,
      jobs: jobs.value.items.length,
      progress: progress.value.items.length,
      workers: workers.value.items.length,
      inherited: known.length,
      suspended: known.filter(({ isSuspended }) => isSuspended).length,
      durationMs: Math.round(performance.now() - startedAt),
    });
    return true;
  }

  #follow(prefix: string, revision: number, take: (item: StoreItem) => void): void {
    const feed = new StoreFeed(this.#parts.store, prefix, hostTimes.leaderFeedWaitMs, {
      replace: (items) => {
        for (const item of items) take(item);
        if (prefix === this.#parts.operator.workerPrefix) this.#changes.unlistAbsent(items);
        this.#changed();
      },
      change: (item) => {
        take(item);
        this.#changed();
      },
    });
    this.#feeds.push(feed);
    void feed.run(revision);
  }

  /** Plans soon, at most once in the planning interval. */
  #changed(): void {
    if (this.#planTimer !== undefined || this.#stopped || !this.#isLoaded) return;
    const pauseMs = Math.max(hostTimes.planIntervalMs, this.#planMs * planPauseFactor);
    const waitMs = Math.max(0, this.#plannedAt + this.#planMs + pauseMs - performance.now());
    this.#planTimer = setTimeout(() => {
      this.#planTimer = undefined;
      this.#plan();
    }, waitMs);
  }

  #plan(): void {
    if (this.#stopped || !this.#claim.mayOrder) return;
    this.#plannedAt = performance.now();
    this.#changes.takeDeferred();
    this.#drivers.update(this.#scheduler.workers);
    this.#roster.update(this.#plannedAt);
    const orders = this.#scheduler.plan(this.#plannedAt, Date.now(), this.#claim.isCurrent);
    for (const { rule, task, worker } of findViolations(orders)) {
      this.#parts.log.write('invariantViolated', { rule, task, worker });
    }
    this.#dispatcher.dispatch(orders, this.#plannedAt);
    for (const order of orders) if (order.kind === 'advise') this.#advice.dispatch(order);
    this.#writer?.poke();
    this.#planMs = performance.now() - this.#plannedAt;
  }

  #afterWrite(): void {
    this.#drivers.wake();
    this.#changed();
  }
}
