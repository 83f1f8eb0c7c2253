import type { Order, StoreItem, Worker } from '@toucanline/jobs';
import { Scheduler, schedulingLimits } from '@toucanline/jobs';
import {
  validators,
  type JobState,
  type SiteConfiguration,
  type WorkerEntry,
} from '@toucanline/schema';
import { AdviceDispatcher } from './AdviceDispatcher.js';
import { hostTimes } from './hostTimes.js';
import type { LeaderClaim } from './LeaderClaim.js';
import type { LeadershipParts } from './LeadershipParts.js';
import { parseStored } from './parseStored.js';
import { ProgressWriter } from './ProgressWriter.js';
import { refusalMark } from './refusalMark.js';
import { StoreFeed } from './StoreFeed.js';
import { storeKeys } from './storeKeys.js';
import type { DriverContext } from './DriverContext.js';
import { WorkerDriver } from './WorkerDriver.js';

/** The leader's work during one term: reads what is known, surveys the workers, schedules. */
export class Leadership {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #drivers = new Map<Worker, WorkerDriver>();
  readonly #advice: AdviceDispatcher;
  readonly #feeds: StoreFeed[] = [];
  readonly #validMs = new Map<string, number>();
  #writer: ProgressWriter | undefined;
  #planTimer: NodeJS.Timeout | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  #cleanupTimer: NodeJS.Timeout | undefined;
  /** Keys of refused submissions with the monotonic time at which they were seen. */
  readonly #refusals = new Map<string, number>();
  #plannedAt = 0;
  #isLoaded = false;
  #stopped = false;
  /** Workers written to the roster, by id and incarnation: orders go to these only. */
  #roster: readonly WorkerEntry[] = [];
  #rosterRevision = 0;
  #isWritingRoster = false;

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
    if (configuration !== undefined) this.configure(configuration);
    this.#advice = new AdviceDispatcher(
      parts.advisor,
      parts.links,
      (order, permits) => {
        const validMs = this.#validMs.get(order.queue) ?? 0;
        this.#scheduler.takePermits(order, permits, performance.now(), validMs);
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
    this.#idleTimer = setInterval(() => {
      this.#changed();
    }, hostTimes.planIdleMs);
    this.#cleanupTimer = setInterval(() => {
      void this.#removeExpired();
    }, hostTimes.cleanupMs);
    this.#changed();
  }

  /** Stops without finishing anything: the claim is lost. */
  public stop(): void {
    this.#stopped = true;
    clearTimeout(this.#planTimer);
    clearInterval(this.#idleTimer);
    clearInterval(this.#cleanupTimer);
    this.#writer?.stop();
    for (const feed of this.#feeds) feed.stop();
    for (const driver of this.#drivers.values()) driver.stop();
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
    if (!this.#isLoaded || this.#isKnown(key)) return;
    this.#takeJob({ key, value, revision });
    this.#changed();
  }

  /**
   * Finds the state that callers see.
   *
   * @param id - the job
   * @returns its state; undefined if it is not known
   */
  public findState(id: string): JobState | undefined {
    return this.#scheduler.findState(id);
  }

  /**
   * Counts the jobs of a queue that have not begun.
   *
   * @param queue - name of the queue
   * @returns their number
   */
  public countWaiting(queue: string): number {
    return this.#scheduler.countWaiting(queue);
  }

  async #load(): Promise<boolean> {
    const { store, operator, log } = this.#parts;
    const startedAt = performance.now();
    const [roster, placements, progress, jobs, workers] = await Promise.all([
      store.read(storeKeys.roster),
      store.read(storeKeys.placements),
      store.list(storeKeys.progress),
      store.list(storeKeys.jobs),
      store.list(operator.workerPrefix),
    ]);
    if (this.#stopped) return false;
    if (roster.isErr() || placements.isErr() || progress.isErr()) return false;
    if (jobs.isErr() || workers.isErr()) return false;
    const now = performance.now();
    for (const item of progress.value.items) this.#takeProgress(item, now);
    for (const item of jobs.value.items) this.#takeJob(item);
    this.#rosterRevision = roster.value?.revision ?? 0;
    const text = roster.value?.value;
    const known = text === undefined ? undefined : parseStored(validators.WorkerRoster, text);
    for (const entry of known?.workers ?? []) this.#takeInherited(entry);
    const placed = placements.value?.value;
    const inherited = placed === undefined ? undefined : parseStored(validators.Placements, placed);
    if (inherited !== undefined) this.#scheduler.inheritPlacements(inherited);
    for (const item of workers.value.items) this.#takeWorker(item);
    this.#unlistAbsent(workers.value.items);
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
      this.#takeJob(item);
    });
    this.#follow(operator.workerPrefix, workers.value.revision, (item) => {
      this.#takeWorker(item);
    });
    log.write('leaderLoaded', {
      term: this.#claim.term,
      jobs: jobs.value.items.length,
      progress: progress.value.items.length,
      workers: workers.value.items.length,
      inherited: known?.workers.length ?? 0,
      durationMs: Math.round(performance.now() - startedAt),
    });
    return true;
  }

  #follow(prefix: string, revision: number, take: (item: StoreItem) => void): void {
    const feed = new StoreFeed(this.#parts.store, prefix, hostTimes.leaderFeedWaitMs, {
      replace: (items) => {
        for (const item of items) take(item);
        if (prefix === this.#parts.operator.workerPrefix) this.#unlistAbsent(items);
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

  #takeProgress({ value }: StoreItem, now: number): void {
    const progress = value === undefined ? undefined : parseStored(validators.JobProgress, value);
    if (progress !== undefined) this.#scheduler.restore(progress, now);
  }

  #takeJob({ key, value, revision }: StoreItem): void {
    if (value === undefined) {
      this.#scheduler.removeJob(key.slice(storeKeys.jobs.length));
      return;
    }
    if (value === refusalMark) {
      this.#refusals.set(key, performance.now());
      return;
    }
    this.#refusals.delete(key);
    // Without a current claim, a successor may already have started this job.
    if (this.#isLoaded && !this.#claim.isCurrent && !this.#isKnown(key)) {
      this.#deferred.push({ key, value, revision });
      return;
    }
    const record = parseStored(validators.JobRecord, value);
    if (record === undefined) {
      this.#parts.log.write('jobUnreadable', { key });
      return;
    }
    const ageMs = Math.max(0, Date.now() - record.acceptedAtMs);
    this.#scheduler.addJob(record, revision, performance.now() - (this.#isLoaded ? 0 : ageMs));
  }

  #deferred: StoreItem[] = [];

  #isKnown(key: string): boolean {
    return this.#scheduler.findState(key.slice(storeKeys.jobs.length)) !== undefined;
  }

  #takeInherited(entry: WorkerEntry): void {
    const worker = this.#scheduler.updateWorker(entry, true);
    this.#roster = [...this.#roster, entry];
    if (worker !== undefined) this.#drive(worker);
  }

  #takeWorker({ key, value }: StoreItem): void {
    const { operator, log } = this.#parts;
    const id = key.slice(operator.workerPrefix.length);
    if (value === undefined) {
      log.write('workerUnlisted', { worker: id });
      this.#scheduler.unlistWorker(id);
      return;
    }
    const entry = operator.decodeWorker(key, value);
    if (entry === undefined) {
      log.write('workerEntryUnreadable', { key });
      return;
    }
    const worker = this.#scheduler.updateWorker(entry, false);
    if (worker === undefined) return;
    log.write('workerListed', { worker: id, life: entry.life, service: entry.service });
    this.#drive(worker);
  }

  #unlistAbsent(items: readonly StoreItem[]): void {
    const { workerPrefix } = this.#parts.operator;
    const listed = new Set(items.map(({ key }) => key.slice(workerPrefix.length)));
    for (const { id } of this.#scheduler.workers) {
      if (!listed.has(id)) this.#scheduler.unlistWorker(id);
    }
  }

  #drive(worker: Worker): void {
    const context: DriverContext = {
      scheduler: this.#scheduler,
      control: this.#parts.control,
      claim: this.#claim,
      log: this.#parts.log,
      changed: () => {
        this.#changed();
      },
      fenced: () => {
        this.#parts.lost('a worker has seen a newer fencing token');
      },
    };
    const driver = new WorkerDriver(worker, context);
    this.#drivers.set(worker, driver);
    void driver.run();
  }

  /** Plans soon, at most once in the planning interval. */
  #changed(): void {
    if (this.#planTimer !== undefined || this.#stopped || !this.#isLoaded) return;
    const waitMs = Math.max(0, this.#plannedAt + hostTimes.planIntervalMs - performance.now());
    this.#planTimer = setTimeout(() => {
      this.#planTimer = undefined;
      this.#plan();
    }, waitMs);
  }

  #plan(): void {
    if (this.#stopped || !this.#claim.mayOrder) return;
    this.#plannedAt = performance.now();
    if (this.#claim.isCurrent && this.#deferred.length > 0) this.#takeDeferred();
    this.#dropEnded();
    if (!this.#ensureRoster()) return;
    const orders = this.#scheduler.plan(this.#plannedAt, Date.now());
    this.#logPlacements(orders);
    for (const order of orders) {
      if (order.kind === 'start') void this.#start(order);
      else if (order.kind === 'stop') void this.#stop(order);
      else this.#advice.dispatch(order);
    }
    this.#writer?.poke();
  }

  /** Writes a line for each step whose tasks start; single starts are logged only if they do not go through. */
  #logPlacements(orders: readonly Order[]): void {
    const steps = new Map<string, Extract<Order, { kind: 'start' }>[]>();
    for (const order of orders) {
      if (order.kind !== 'start') continue;
      const { key } = order.task.step;
      steps.set(key, [...(steps.get(key) ?? []), order]);
    }
    for (const [step, starts] of steps) {
      const [first] = starts;
      if (first === undefined) continue;
      const { job, waitingCount } = first.task.step;
      this.#parts.log.write('tasksPlaced', {
        request: job.id,
        step,
        run: first.run,
        term: this.#claim.term,
        placed: starts.map(({ task, worker }) => `${task.index}@${worker.id}`).join(' '),
        stillWaiting: waitingCount,
        jobAgeMs: Math.round(this.#plannedAt - job.acceptedAt),
      });
    }
  }

  #takeDeferred(): void {
    const items = this.#deferred;
    this.#deferred = [];
    for (const item of items) this.#takeJob(item);
  }

  #dropEnded(): void {
    const alive = new Set(this.#scheduler.workers);
    for (const [worker, driver] of this.#drivers) {
      if (alive.has(worker)) continue;
      driver.stop();
      this.#drivers.delete(worker);
      this.#parts.control.forget(worker.entry.address);
    }
  }

  /** Returns whether all workers stand in the roster; otherwise writes it and plans again. */
  #ensureRoster(): boolean {
    const names = new Set(this.#roster.map(({ id, life }) => `${id}/${life}`));
    const { workers } = this.#scheduler;
    const isComplete = workers.every(({ id, life }) => names.has(`${id}/${life}`));
    // A worker that has ended would make the next leader wait for the lapse of its leases.
    if (!isComplete || workers.length < names.size) void this.#writeRoster();
    return isComplete;
  }

  async #writeRoster(): Promise<void> {
    if (this.#isWritingRoster || !this.#claim.isCurrent) return;
    this.#isWritingRoster = true;
    const entries = this.#scheduler.workers.map(({ entry }) => entry);
    const outcome = await this.#parts.store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#claim.revision },
        { key: storeKeys.roster, revision: this.#rosterRevision },
      ],
      put: [{ key: storeKeys.roster, value: JSON.stringify({ workers: entries }) }],
    });
    this.#isWritingRoster = false;
    if (outcome.isErr()) {
      await new Promise((resolve) => setTimeout(resolve, hostTimes.progressRetryMs));
    } else if (outcome.value.committed) {
      this.#rosterRevision = outcome.value.revision;
      this.#roster = entries;
    } else this.#takeRosterConflict(outcome.value.items);
    this.#changed();
  }

  #takeRosterConflict(items: readonly StoreItem[]): void {
    const holder = items.find(({ key }) => key === storeKeys.holder);
    if (holder?.revision !== this.#claim.revision) {
      this.#parts.lost('the store has another leader');
      return;
    }
    this.#rosterRevision = items.find(({ key }) => key === storeKeys.roster)?.revision ?? 0;
  }

  async #start(order: Extract<Order, { kind: 'start' }>): Promise<void> {
    const { control, log } = this.#parts;
    const { task, worker, run, permit } = order;
    if (!this.#claim.mayOrder) {
      this.#scheduler.takeStart(order, 'late', performance.now());
      return;
    }
    const sentAt = performance.now();
    const { outcome, clockMs } = await control.start(worker.entry, {
      task: task.name,
      run,
      payload: task.step.job.record.specification.payload,
      leaseUntilMs: worker.extendLease(sentAt),
      term: this.#claim.term,
      ...(task.checkpoint === '' ? {} : { checkpoint: task.checkpoint }),
      ...(permit === undefined ? {} : { permit }),
    });
    if (this.#stopped) return;
    const now = performance.now();
    this.#parts.metrics.noteStart(now - sentAt);
    if (clockMs !== undefined) worker.noteContact(clockMs, now);
    if (outcome !== 'started') {
      log.write('startNotConfirmed', {
        request: task.step.job.id,
        task: task.name,
        run,
        worker: worker.id,
        term: this.#claim.term,
        answerMs: Math.round(now - sentAt),
        outcome,
      });
    }
    if (outcome === 'fenced') {
      this.#parts.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.takeStart(order, outcome, now);
    if (outcome !== 'started') this.#changed();
    this.#drivers.get(worker)?.wake();
  }

  async #stop({ task, worker, run }: Extract<Order, { kind: 'stop' }>): Promise<void> {
    const wasUnconfirmed = !task.isConfirmed;
    const outcome = await this.#parts.control.stop(worker.entry, task.name, run, this.#claim.term);
    if (this.#stopped) return;
    const now = performance.now();
    this.#parts.log.write('taskStopped', {
      request: task.step.job.id,
      task: task.name,
      run,
      worker: worker.id,
      state: task.step.job.state,
      outcome,
    });
    if (outcome === 'fenced') {
      this.#parts.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.takeStop(task, run, outcome === 'confirmed', now);
    const driver = this.#drivers.get(worker);
    driver?.wake();
    // A run that never arrived has no end that would end the wait of the report under way.
    if (outcome === 'confirmed' && wasUnconfirmed) {
      setTimeout(() => void driver?.look(), this.#parts.stopMs + hostTimes.lookMarginMs);
    }
    this.#changed();
  }

  /** Removes jobs whose state was readable for long enough, a few in each transaction. */
  async #removeExpired(): Promise<void> {
    if (!this.#claim.isCurrent) return;
    const { retentionMs } = schedulingLimits;
    const finished = this.#scheduler.listExpired(Date.now() - retentionMs);
    const refused = [...this.#refusals]
      .filter(([, seenAt]) => performance.now() - seenAt > retentionMs)
      .map(([key]) => key);
    const keys = [
      ...finished.flatMap((id) => [storeKeys.jobs + id, storeKeys.progress + id]),
      ...refused,
    ].slice(0, hostTimes.removalsPerWrite);
    if (keys.length === 0) return;
    const outcome = await this.#parts.store.commit({
      expected: [{ key: storeKeys.holder, revision: this.#claim.revision }],
      put: [],
      remove: keys,
    });
    this.#parts.log.write('expiredJobsRemoved', {
      keys: keys.length,
      outcome: outcome.isOk() ? 'done' : outcome.error.kind,
    });
    if (outcome.isOk()) for (const key of refused) this.#refusals.delete(key);
  }

  #afterWrite(): void {
    for (const driver of this.#drivers.values()) driver.wake();
    this.#changed();
  }
}
