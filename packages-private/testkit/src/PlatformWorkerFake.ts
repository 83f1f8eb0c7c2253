import type { IncomingMessage } from 'node:http';
import { HttpFake } from './HttpFake.js';
import { readJson } from './readJson.js';
import { sleep } from './sleep.js';

interface Run {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
}

interface Order {
  readonly Task: string;
  readonly Run: number;
  readonly Spec: string;
  readonly DeadlineMs?: number;
  readonly FencingToken: number;
  readonly AckedThrough?: number;
  readonly WaitMs?: number;
}

type Answer = Awaited<ReturnType<HttpFake['handle']>>;

/** Start and end of a run, as a witness saw them. */
interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly outcome: string;
}

/** One of the users' workers. A payload of `ms=N` runs for N milliseconds. */
export class PlatformWorkerFake extends HttpFake {
  /** What ran here, in order of the ends. */
  public readonly records: RunRecord[] = [];
  readonly #id: string;
  readonly #born = Date.now();
  readonly #startedAt = performance.now();
  readonly #runs = new Map<string, Run>();
  readonly #highest = new Map<string, number>();
  readonly #clock: NodeJS.Timeout;
  #ended: [number, string, number, string, string][] = [];
  #fence = 0;
  #deadline = 0;

  /** @param id - id in the list of workers */
  public constructor(id: string) {
    super();
    this.#id = id;
    this.#clock = setInterval(() => {
      this.#advance();
    }, 5);
  }

  /** Entry in the list of workers. */
  public get entry(): unknown {
    return {
      Service: 'render',
      Address: this.address,
      Zone: 'dc1',
      State: 'ready',
      Capacity: { Cpu: 4000, MemMb: 4000, Gpu: 0 },
      Labels: ['a', 'r1-1'],
      born: this.#born,
    };
  }

  /** Id in the list of workers. */
  public get id(): string {
    return this.#id;
  }

  /** Tasks that run now. */
  public get running(): readonly string[] {
    return [...this.#runs.keys()];
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#clock);
    super.stop();
  }

  protected override async handle(request: IncomingMessage): Promise<Answer> {
    const order = (await readJson(request)) as Order;
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.#id) return { status: 421, body: {} };
    this.#advance();
    if (order.FencingToken < this.#fence) return this.#refuse('fence');
    this.#fence = order.FencingToken;
    if (request.url === '/run-start') return this.#start(order);
    if (request.url === '/run-stop') return this.#stop(order);
    return this.#hold(order);
  }

  protected override openStream(): undefined {
    return undefined;
  }

  get #now(): number {
    return Math.round(performance.now() - this.#startedAt);
  }

  #start({ Task, Run, Spec, DeadlineMs = 0 }: Order): Answer {
    if (DeadlineMs <= this.#now) return this.#refuse('late');
    this.#extend(DeadlineMs);
    if (this.#runs.get(Task)?.run === Run) return this.#accept();
    if (Run <= (this.#highest.get(Task) ?? 0)) return this.#refuse('old');
    this.#highest.set(Task, Run);
    const durationMs = Number(/ms=(\d+)/.exec(Spec)?.[1] ?? 50);
    const startedAt = performance.now();
    this.#runs.set(Task, { task: Task, run: Run, startedAt, endsAt: startedAt + durationMs });
    return this.#accept();
  }

  #stop({ Task, Run }: Order): Answer {
    this.#highest.set(Task, Math.max(Run, this.#highest.get(Task) ?? 0));
    const run = this.#runs.get(Task);
    if (run !== undefined && run.run <= Run) this.#end(run, 'stopped');
    return this.#accept();
  }

  async #hold({ DeadlineMs, AckedThrough = 0, WaitMs = 0 }: Order): Promise<Answer> {
    if (DeadlineMs !== undefined) this.#extend(DeadlineMs);
    this.#ended = this.#ended.filter(([number]) => number > AckedThrough);
    const endsAt = performance.now() + WaitMs;
    while (this.#ended.length === 0 && performance.now() < endsAt) await sleep(5);
    const runs = [...this.#runs.values()].map(({ task, run }) => [task, run, '', 50, 0]);
    return {
      status: 200,
      body: { ClockMs: this.#now, RunningCount: runs, Ended: this.#ended, born: this.#born },
    };
  }

  #extend(deadline: number): void {
    this.#deadline = Math.max(this.#deadline, Math.min(deadline, this.#now + 6000));
  }

  #advance(): void {
    for (const run of [...this.#runs.values()]) {
      if (performance.now() >= run.endsAt) this.#end(run, 'done');
      else if (this.#now >= this.#deadline) this.#end(run, 'lapsed');
    }
  }

  #end({ task, run, startedAt }: Run, outcome: string): void {
    this.#runs.delete(task);
    this.records.push({ task, run, startedAt, outcome });
    this.#ended.push([this.records.length, task, run, outcome, '']);
  }

  #accept(): Answer {
    return { status: 200, body: { ClockMs: this.#now } };
  }

  #refuse(reason: string): Answer {
    return { status: 409, body: { ClockMs: this.#now, Reason: reason } };
  }
}
