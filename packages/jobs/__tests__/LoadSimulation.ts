import type {
  ForecastNotice,
  JobRecord,
  PlacementPermit,
  SiteConfiguration,
  WorkerEntry,
} from '@toucanline/schema';
import { expect } from 'chai';
import {
  findViolations,
  LearnedDurations,
  Scheduler,
  TurnShare,
  type Command,
  type DurationEstimates,
  type ForecastAdmission,
} from '../src/index.js';
import { ModelWorker } from './ModelWorker.js';
import { InvariantChecker } from './InvariantChecker.js';

/** Step of the simulated time, in milliseconds. */
const tickMs = 5;

/** Validity of permits in milliseconds, as on the users' sites. */
const permitValidMs = 2000;

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

/** Simulates a fleet under load without faults: no call is lost, and each task takes the time that the test sets. */
export class LoadSimulation {
  public readonly scheduler: Scheduler;
  public readonly checker = new InvariantChecker();
  readonly #models = new Map<string, ModelWorker>();
  readonly #factorOf: (worker: string) => number;
  readonly #isAllowed: (worker: string) => boolean;
  readonly #workMs = new Map<string, (task: string) => number>();
  readonly #finishedAt = new Map<string, number>();
  readonly #startCounts = new Map<string, number>();
  readonly #site: SiteConfiguration;
  readonly #refusals: { readonly id: string; readonly at: number; readonly returnsAt: number }[] =
    [];
  readonly #forecasts: ForecastNotice[] = [];
  #hosts: readonly ForecastAdmission[] = [];
  #arrivals: readonly { readonly at: number; readonly record: JobRecord }[] = [];
  #responses: readonly {
    readonly at: number;
    readonly command: AdviceCommand;
    readonly permits: readonly PlacementPermit[] | undefined;
    readonly endTurn: (() => void) | undefined;
  }[] = [];
  /** Number of calls that the advice service handles at the same time. */
  public channels = Infinity;
  /** Whether the advice service never answers calls for a step. */
  public isSilent: (stepKey: string) => boolean = () => false;
  /** Whether the runs of a task fail after their time. */
  public isFailing: (task: string) => boolean = () => false;
  #queuedAdvice: readonly AdviceCommand[] = [];
  readonly #turnShare = new TurnShare();
  #revision = 10;
  #now = 0;

  public constructor(
    site: SiteConfiguration,
    workers: readonly WorkerEntry[],
    factorOf: (worker: string) => number,
    isAllowed: (worker: string) => boolean = () => true,
    durations: DurationEstimates = new LearnedDurations(),
  ) {
    this.#site = site;
    this.#isAllowed = isAllowed;
    const bounds = { maxStopMs: 200, maxLeaseMs: 6000 };
    this.scheduler = new Scheduler(1, this.#revision, 0, bounds, durations);
    this.scheduler.configure(site);
    this.#factorOf = factorOf;
    for (const entry of workers) {
      const model = new ModelWorker(entry, this.checker);
      this.#models.set(entry.id, model);
      this.checker.liveWorkers.add(model);
      this.scheduler.updateWorker(entry, false);
    }
    this.#collectReports();
  }

  /** Submits a job at a simulated time; `workMs` returns the duration of a task on a worker of mean speed. */
  public submit(at: number, record: JobRecord, workMs: (task: string) => number): void {
    this.#workMs.set(record.id, workMs);
    this.#arrivals = [...this.#arrivals, { at, record }].sort((a, b) => a.at - b.at);
  }

  /** Simulated time at which a job was published as completed, in milliseconds; infinite if it was not. */
  public finishedAt(id: string): number {
    return this.#finishedAt.get(id) ?? Infinity;
  }

  /** Simulated time at which the last job with this prefix of its id was published as completed, in milliseconds. */
  public lastFinishedAt(prefix: string): number {
    const times = [...this.#finishedAt].flatMap(([id, at]) => (id.startsWith(prefix) ? [at] : []));
    return Math.max(0, ...times);
  }

  /** Counts the runs that were started on a worker. */
  public countStarts(worker: string): number {
    return this.#startCounts.get(worker) ?? 0;
  }

  /** Refused submissions, and when their callers return. */
  public get refusals(): readonly {
    readonly id: string;
    readonly at: number;
    readonly returnsAt: number;
  }[] {
    return this.#refusals;
  }

  /** Forecasts that the leader has sent. */
  public get forecasts(): readonly ForecastNotice[] {
    return this.#forecasts;
  }

  /** Lets submissions pass hosts in turn, which get the forecasts and refuse by them. Refused callers return when told. */
  public admitThrough(hosts: readonly ForecastAdmission[]): void {
    this.#hosts = hosts;
  }

  /** Stalls all tasks of a worker from now on. */
  public stallTasks(id: string): void {
    const model = this.#models.get(id);
    if (model !== undefined) model.isStalled = true;
  }

  public run(untilMs: number): void {
    while (this.#now < untilMs) {
      this.#now += tickMs;
      this.#submitDue();
      this.#collectReports();
      this.#deliverPermits();
      const commands = this.scheduler.plan(this.#now, this.#now);
      expect(findViolations(commands)).to.deep.equal([]);
      for (const command of commands) this.#execute(command);
      this.#sendAdvice();
      this.#writeProgress();
      this.#sendForecast();
    }
  }

  #sendForecast(): void {
    if (this.#hosts.length === 0) return;
    const forecast = this.scheduler.forecast.update(this.#now, this.#hosts.length);
    if (forecast === undefined) return;
    this.#forecasts.push(forecast);
    for (const host of this.#hosts) host.apply(forecast, this.#now);
  }

  /** Submits to the host whose turn it is; returns false if the host refuses. */
  #admit(record: JobRecord): boolean {
    const queue = this.#site.queues.find(({ name }) => name === record.queue);
    const account = this.#site.accounts.find(({ name }) => name === record.account);
    const host = this.#hosts[this.#revision % this.#hosts.length];
    if (queue === undefined || host === undefined) return true;
    const submission = { queue, account, specification: record.specification };
    const refusal = host.check(submission, this.#now);
    if (refusal === undefined) return true;
    const returnsAt = this.#now + refusal.retryAfterSeconds * 1000;
    this.#refusals.push({ id: record.id, at: this.#now, returnsAt });
    this.#arrivals = [...this.#arrivals, { at: returnsAt, record }];
    return false;
  }

  #submitDue(): void {
    const due = this.#arrivals.filter(({ at }) => at <= this.#now);
    this.#arrivals = this.#arrivals.filter(({ at }) => at > this.#now);
    for (const { record } of due) {
      this.#revision += 1;
      if (!this.#admit(record)) continue;
      this.checker.addJob(record);
      this.scheduler.addJob(record, this.#revision, this.#now);
    }
  }

  #deliverPermits(): void {
    for (const { command, permits, endTurn } of this.#responses.filter(
      ({ at }) => at <= this.#now,
    )) {
      endTurn?.();
      this.scheduler.handlePermits(command, permits, this.#now, permitValidMs);
    }
    this.#responses = this.#responses.filter(({ at }) => at > this.#now);
  }

  /** Sends the queued requests by priority, those of steps with a turn first within their share. */
  #sendAdvice(): void {
    while (this.#responses.length < this.channels) {
      const turn = this.#turnShare.canTake(this.channels, this.#now)
        ? this.scheduler.turnKeys
            .map((key) =>
              this.#queuedAdvice.find(({ stepKey, isEarly }) => stepKey === key && !isEarly),
            )
            .find((queued) => queued !== undefined)
        : undefined;
      const command = turn ?? this.#queuedAdvice[0];
      if (command === undefined) break;
      this.#queuedAdvice = this.#queuedAdvice.filter((each) => each !== command);
      if (turn === undefined) this.#turnShare.recordOther();
      const { workers, expectedMs, stepKey } = command;
      const permits = workers.flatMap(({ id }) =>
        this.#isAllowed(id) ? [{ workerId: id, permit: 'p' }] : [],
      );
      const isSilent = this.isSilent(stepKey);
      const response = {
        at: this.#now + (isSilent ? expectedMs * 2 + 1500 : expectedMs),
        command,
        permits: isSilent ? undefined : permits,
        endTurn: turn && this.#turnShare.begin(this.#now + expectedMs),
      };
      this.#responses = [...this.#responses, response];
    }
  }

  #collectReports(): void {
    for (const worker of this.scheduler.workers) {
      const model = this.#models.get(worker.id);
      const lease = worker.isSurveyed ? worker.extendLease(this.#now) : undefined;
      const report = model?.report(1, worker.acknowledgement, lease, this.#now);
      if (report === undefined || report === 'fenced') continue;
      this.scheduler.handleReport(worker, report, this.#now, this.#now, this.#now);
    }
  }

  #execute(command: Command): void {
    if (command.kind === 'advise') {
      const { stepKey } = command;
      if (this.#responses.some((each) => each.command.stepKey === stepKey)) return;
      const others = this.#queuedAdvice.filter((each) => each.stepKey !== stepKey);
      this.#queuedAdvice = [...others, command].sort(
        (a, b) =>
          Number(a.isEarly) - Number(b.isEarly) ||
          a.priority - b.priority ||
          a.expectedMs - b.expectedMs,
      );
      return;
    }
    const { task, worker, run } = command;
    const model = this.#models.get(worker.id);
    if (model === undefined) return;
    if (command.kind === 'stop') {
      model.stop(task.name, run, 1, this.#now);
      this.scheduler.handleStopOutcome(command, true, this.#now);
      return;
    }
    this.#startCounts.set(worker.id, this.countStarts(worker.id) + 1);
    const workMs = this.#workMs.get(task.step.job.id)?.(task.name) ?? 0;
    const durationMs = workMs * this.#factorOf(worker.id);
    const lease = worker.extendLease(this.#now);
    const start = { task: task.name, run, token: 1 };
    const end = this.isFailing(task.name) ? 'failed' : 'done';
    const outcome = model.start(start, lease, this.#now, durationMs, end);
    this.scheduler.handleStartOutcome(command, outcome, this.#now);
  }

  #writeProgress(): void {
    const batch = this.scheduler.progress.takeBatch();
    this.scheduler.progress.confirmBatch(batch);
    for (const { id, state } of batch.progress) {
      if (state === 'completed' && !this.#finishedAt.has(id)) this.#finishedAt.set(id, this.#now);
    }
  }
}
