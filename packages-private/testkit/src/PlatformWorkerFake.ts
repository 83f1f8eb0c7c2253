import type { IncomingMessage } from 'node:http';
import { HttpFake } from './HttpFake.js';
import type { PlatformRunMonitor } from './PlatformRunMonitor.js';
import { readJson } from './readJson.js';
import { sleep } from './sleep.js';

/** A run that has not ended, with its start and planned end in monotonic milliseconds. */
interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
}

/** Body of a call to a worker; which fields are present depends on the path. */
interface WorkerCall {
  readonly Task: string;
  readonly Run: number;
  readonly Spec: string;
  readonly DeadlineMs?: number;
  readonly FencingToken: number;
  readonly AckedThrough?: number;
  readonly WaitMs?: number;
}

type JsonResponse = Awaited<ReturnType<HttpFake['handle']>>;

/** A run that has ended, as recorded by the worker itself; its start is in monotonic milliseconds. */
interface EndedRun {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly outcome: string;
}

/** A fake worker of the users' platform. A task whose specification has `ms=N` runs for N milliseconds. */
export class PlatformWorkerFake extends HttpFake {
  /** Runs that have ended on this worker, in the order of their ends. */
  public readonly endedRuns: EndedRun[] = [];
  readonly #id: string;
  readonly #dataCentre: string;
  readonly #monitor: PlatformRunMonitor | undefined;
  readonly #activeRuns = new Map<string, ActiveRun>();
  /** Highest run number seen, by task. */
  readonly #highestRuns = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;
  /** Ends that the leader has not acknowledged: number, task, run, outcome and detail. */
  #unacknowledgedEnds: [number, string, number, string, string][] = [];
  #incarnation = Date.now();
  #startedAt = performance.now();
  #lastEndNumber = 0;
  #fencingToken = 0;
  #leaseDeadlineMs = 0;

  /**
   * @param id - identifier in the list of workers
   * @param dataCentre - data centre of the worker
   * @param monitor - monitor that is notified of the runs
   */
  public constructor(id: string, dataCentre = 'dc1', monitor?: PlatformRunMonitor) {
    super();
    this.#id = id;
    this.#dataCentre = dataCentre;
    this.#monitor = monitor;
    this.#timer = setInterval(() => {
      this.endDueRuns();
    }, 5);
  }

  /** Record of the worker in the list of workers. */
  public get serverRecord(): unknown {
    return {
      Service: 'render',
      Address: this.address,
      Zone: this.#dataCentre,
      State: 'ready',
      Capacity: { Cpu: 4000, MemMb: 4000, Gpu: 0 },
      Labels: ['a', 'r1-1'],
      born: this.#incarnation,
    };
  }

  /** Identifier in the list of workers. */
  public get id(): string {
    return this.#id;
  }

  /** Names of the tasks that are running. */
  public get runningTasks(): readonly string[] {
    return [...this.#activeRuns.keys()];
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#timer);
    super.stop();
  }

  /** Restarts the worker under its id: it loses all runs and ends, and its clock and numbers start anew. */
  public restart(): void {
    this.endDueRuns();
    this.closeConnections();
    for (const task of this.#activeRuns.keys()) this.#monitor?.endRun(task, this, 'lost');
    this.#activeRuns.clear();
    this.#highestRuns.clear();
    this.#unacknowledgedEnds = [];
    this.#lastEndNumber = 0;
    this.#fencingToken = 0;
    this.#leaseDeadlineMs = 0;
    this.#startedAt = performance.now();
    this.#incarnation = Math.max(Date.now(), this.#incarnation + 1);
  }

  /** Ends the runs that are complete and those whose lease has expired. */
  public endDueRuns(): void {
    const leaseEndsAt = this.#startedAt + this.#leaseDeadlineMs;
    for (const run of [...this.#activeRuns.values()]) {
      // A run whose lease expired before its completion is not done, even if this process saw the expiry late.
      const isDone = run.endsAt <= leaseEndsAt && performance.now() >= run.endsAt;
      if (isDone) this.#endRun(run, 'done');
      else if (this.#now >= this.#leaseDeadlineMs) this.#endRun(run, 'lapsed');
    }
  }

  protected override async handle(request: IncomingMessage): Promise<JsonResponse> {
    const call = (await readJson(request)) as WorkerCall;
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.#id) return { status: 421, body: {} };
    this.endDueRuns();
    if (call.FencingToken < this.#fencingToken) return this.#refuse('fence');
    this.#fencingToken = call.FencingToken;
    if (request.url === '/run-start') return this.#startRun(call);
    if (request.url === '/run-stop') return this.#stopRun(call);
    return this.#handleHold(call);
  }

  protected override openStream(): undefined {
    return undefined;
  }

  /** Time since the start of the worker, in milliseconds. */
  get #now(): number {
    return Math.round(performance.now() - this.#startedAt);
  }

  #startRun({ Task, Run, Spec, DeadlineMs = 0 }: WorkerCall): JsonResponse {
    if (DeadlineMs <= this.#now) return this.#refuse('late');
    this.#extendLease(DeadlineMs);
    if (this.#activeRuns.get(Task)?.run === Run) return this.#accept();
    if (Run <= (this.#highestRuns.get(Task) ?? 0)) return this.#refuse('old');
    this.#highestRuns.set(Task, Run);
    const durationMs = Number(/ms=(\d+)/.exec(Spec)?.[1] ?? 50);
    const startedAt = performance.now();
    this.#monitor?.startRun(Task, Run, this);
    this.#activeRuns.set(Task, { task: Task, run: Run, startedAt, endsAt: startedAt + durationMs });
    return this.#accept();
  }

  #stopRun({ Task, Run }: WorkerCall): JsonResponse {
    this.#highestRuns.set(Task, Math.max(Run, this.#highestRuns.get(Task) ?? 0));
    const run = this.#activeRuns.get(Task);
    if (run !== undefined && run.run <= Run) this.#endRun(run, 'stopped');
    return this.#accept();
  }

  async #handleHold({
    DeadlineMs,
    AckedThrough = 0,
    WaitMs = 0,
  }: WorkerCall): Promise<JsonResponse> {
    if (DeadlineMs !== undefined) this.#extendLease(DeadlineMs);
    for (const [number, task, , outcome] of this.#unacknowledgedEnds) {
      if (number <= AckedThrough && outcome === 'done') this.#monitor?.acknowledgeCompletion(task);
    }
    this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(([number]) => number > AckedThrough);
    const endsAt = performance.now() + WaitMs;
    while (this.#unacknowledgedEnds.length === 0 && performance.now() < endsAt) await sleep(5);
    const runs = [...this.#activeRuns.values()].map((active) => [
      active.task,
      active.run,
      '',
      computePercent(active),
      0,
    ]);
    return {
      status: 200,
      body: {
        ClockMs: this.#now,
        RunningCount: runs,
        Ended: this.#unacknowledgedEnds,
        born: this.#incarnation,
      },
    };
  }

  #extendLease(deadline: number): void {
    this.#leaseDeadlineMs = Math.max(this.#leaseDeadlineMs, Math.min(deadline, this.#now + 6000));
  }

  #endRun({ task, run, startedAt }: ActiveRun, outcome: string): void {
    this.#activeRuns.delete(task);
    this.#monitor?.endRun(task, this, outcome);
    this.endedRuns.push({ task, run, startedAt, outcome });
    this.#lastEndNumber += 1;
    this.#unacknowledgedEnds.push([this.#lastEndNumber, task, run, outcome, '']);
  }

  #accept(): JsonResponse {
    return { status: 200, body: { ClockMs: this.#now } };
  }

  #refuse(reason: string): JsonResponse {
    return { status: 409, body: { ClockMs: this.#now, Reason: reason } };
  }
}

/** Computes the progress of a run: a task without progress would be stopped as stalled. */
const computePercent = ({ startedAt, endsAt }: ActiveRun): number =>
  Math.floor((100 * (performance.now() - startedAt)) / (endsAt - startedAt));
