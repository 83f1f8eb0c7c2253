import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { addResources, coversResources, zeroResources } from '@toucanline/core';
import {
  validators,
  type Authority,
  type HostRecord,
  type Renewal,
  type Resources,
  type TaskCommand,
  type TaskStart,
  type WorkerAnswer,
  type WorkerDescription,
  type WorkerRefusal,
} from '@toucanline/schema';
import { TaskFake } from './TaskFake.js';
import { HttpFake } from './HttpFake.js';
import type { ExecutionMonitor } from './ExecutionMonitor.js';
import { readJson } from './readJson.js';

/** Description of a worker. */
interface WorkerOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly acceleratorType?: string;
  readonly speed?: number;
}

/** Longer than a lease: workers have usually been up for longer than that when a scheduler first contacts them. */
const initialUptimeMs = 60_000;

type JsonResponse = Readonly<{ status: number; body: unknown }>;

/** A fake worker of the platform: simulates tasks under a lease and fences owners by epoch. */
export class WorkerFake extends HttpFake {
  public readonly options: WorkerOptions;
  readonly #monitor: ExecutionMonitor;
  readonly #tasks = new Map<string, TaskFake>();
  readonly #waiters = new Set<() => void>();
  readonly #leaseTimer: NodeJS.Timeout;
  #bootId: string = randomUUID();
  #bootedAt = performance.now() - initialUptimeMs;
  #epoch = 0;
  #owner = '';
  #leaseUntil = 0;
  #sequence = 1;
  #isLeaving = false;
  #isFaulty = false;
  #hasExceededCapacity = false;

  /**
   * @param options - description of the worker
   * @param monitor - checks the invariants over all workers
   */
  public constructor(options: WorkerOptions, monitor: ExecutionMonitor) {
    super();
    this.options = options;
    this.#monitor = monitor;
    this.#leaseTimer = setInterval(() => {
      this.#expireLease();
    }, 50);
  }

  /** Record of the worker in the host list. */
  public get hostRecord(): HostRecord {
    const { id, dataCentre, rack } = this.options;
    const state = this.#isLeaving ? 'leaving' : 'live';
    return { id, role: 'worker', state, dataCentre, rack, address: this.address };
  }

  /** Number of running tasks. */
  public get runningCount(): number {
    return this.#listRunning().length;
  }

  /** Number of known tasks that failed. */
  public get failedCount(): number {
    return [...this.#tasks.values()].filter(({ state }) => state === 'failed').length;
  }

  /** Resources that the running tasks use. */
  public get usage(): Resources {
    return this.#listRunning().reduce((sum, task) => addResources(sum, task.usage), zeroResources);
  }

  /** Whether the running tasks ever used more processors than the worker has. */
  public get hasExceededCapacity(): boolean {
    return this.#hasExceededCapacity;
  }

  /** Makes the worker report that it is leaving. */
  public startLeaving(): void {
    this.#isLeaving = true;
    this.#monitor.recordLeaving(this.options.id);
    this.#wakeWaiters();
  }

  /**
   * Makes the worker fail every task that it starts.
   *
   * @param isFaulty - whether tasks fail
   */
  public setFaulty(isFaulty: boolean): void {
    this.#isFaulty = isFaulty;
  }

  /** Removes the ended tasks, as a worker may once their ends were acknowledged. */
  public forgetEndedTasks(): void {
    for (const [id, { state }] of this.#tasks) if (state !== 'running') this.#tasks.delete(id);
  }

  /** Restarts the worker: drops its tasks and resets its clock, boot id, epoch and lease. */
  public reboot(): void {
    for (const task of this.#listRunning()) task.end('lapsed');
    this.#tasks.clear();
    this.#bootId = randomUUID();
    this.#bootedAt = performance.now();
    this.#epoch = 0;
    this.#owner = '';
    this.#leaseUntil = 0;
    this.#sequence = 1;
    this.#wakeWaiters();
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#leaseTimer);
    for (const task of this.#listRunning()) task.end('lapsed');
    super.stop();
  }

  /** {@inheritDoc HttpFake.handle} */
  protected override async handle(request: IncomingMessage): Promise<JsonResponse> {
    const body = await readJson(request);
    if (request.url === '/v1/tasks' && validators.TaskStart(body)) return this.#startTask(body);
    if (request.url === '/v1/commands' && validators.TaskCommand(body))
      return this.#handleCommand(body);
    if (request.url === '/v1/renewals' && validators.Renewal(body))
      return this.#handleRenewal(body);
    return this.#refuse('malformed', 'invalid body');
  }

  /** {@inheritDoc HttpFake.openStream} */
  protected override openStream({
    url,
    headers,
  }: IncomingMessage): ((line: string) => Promise<JsonResponse>) | undefined {
    if (url !== '/v1/renewals' || headers['content-type'] !== 'application/x-ndjson') {
      return undefined;
    }
    let last: Renewal | undefined;
    return (line) => {
      const value = JSON.parse(line) as unknown;
      if (last === undefined && validators.Renewal(value)) last = value;
      else if (last !== undefined && validators.RenewalStep(value)) last = { ...last, ...value };
      else return Promise.resolve(this.#refuse('malformed', 'invalid line'));
      return this.#handleRenewal(last);
    };
  }

  /**
   * Time since the start of the worker in milliseconds, rounded to microseconds: each further digit would be sent
   * with every report.
   */
  get #now(): number {
    return Math.round((performance.now() - this.#bootedAt) * 1000) / 1000;
  }

  #listRunning(): readonly TaskFake[] {
    return [...this.#tasks.values()].filter(({ state }) => state === 'running');
  }

  #refuse(refusal: WorkerRefusal['refusal'], detail: string): JsonResponse {
    const body: WorkerRefusal = { refusal, detail, epoch: this.#epoch, owner: this.#owner };
    return { status: 409, body };
  }

  /** Fences by epoch: accepts a higher epoch, or the same one from the same owner. */
  #checkAuthority(authority: Authority): JsonResponse | undefined {
    const { epoch, owner, provisional, bootId } = authority;
    const isSameOwner = epoch === this.#epoch && owner === this.#owner;
    if (epoch < this.#epoch || (epoch === this.#epoch && !isSameOwner)) {
      return this.#refuse('staleEpoch', `epoch ${epoch} of ${owner} is not above ${this.#epoch}`);
    }
    if (!isSameOwner && provisional && this.#now < this.#leaseUntil) {
      return this.#refuse('leaseHeld', `lease of ${this.#owner} has not expired`);
    }
    if (bootId !== '' && bootId !== this.#bootId) {
      return this.#refuse('wrongBoot', 'the worker has restarted');
    }
    this.#epoch = epoch;
    this.#owner = owner;
    return undefined;
  }

  #startTask({ authority, assignment, latestStartAt, leaseUntil }: TaskStart): JsonResponse {
    const refusal = this.#checkAuthority(authority);
    if (refusal !== undefined) return refusal;
    const { id, capacity } = this.options;
    const { request, taskId } = assignment;
    this.#monitor.recordStartCommand(id, assignment);
    if (this.#tasks.has(taskId)) return this.#refuse('duplicate', `${taskId} was received before`);
    if (this.#now > latestStartAt) return this.#refuse('tooLate', 'the start window has passed');
    if (this.#isLeaving) return this.#refuse('leaving', 'the worker is leaving');
    if (this.#now >= Math.max(leaseUntil, this.#leaseUntil)) {
      return this.#refuse('noLease', 'the worker has no valid lease');
    }
    let allocated = request.size;
    for (const task of this.#listRunning())
      allocated = addResources(allocated, task.assignment.request.size);
    if (!coversResources(capacity, allocated)) {
      this.#monitor.recordOverload(id, JSON.stringify(allocated));
      return this.#refuse('noRoom', 'the worker is full');
    }
    const task = new TaskFake(assignment, this.options.speed ?? 1, () => {
      if (task.state !== 'running') this.#monitor.recordEnd(id, assignment);
      this.#publishChange(task);
    });
    this.#tasks.set(taskId, task);
    this.#monitor.recordStart(id, assignment);
    // The response reports the start, so the pending renewal keeps waiting.
    this.#recordChange(task);
    if (this.#isFaulty) task.end('failed', 'the worker is faulty');
    else task.run();
    return { status: 200, body: {} };
  }

  #handleCommand({ authority, taskId, action, cancelled }: TaskCommand): JsonResponse {
    const refusal = this.#checkAuthority(authority);
    if (refusal !== undefined) return refusal;
    const task = this.#tasks.get(taskId);
    if (task === undefined) return this.#refuse('unknownTask', `${taskId} is not known`);
    if (cancelled === true) {
      task.markCancelled();
      this.#publishChange(task);
    }
    if (action === 'stop') task.end('stopped');
    else if (action === 'checkpoint') task.end('checkpointed');
    else task.throttle();
    return { status: 200, body: {} };
  }

  async #handleRenewal(renewal: Renewal): Promise<JsonResponse> {
    const refusal = this.#checkAuthority(renewal.authority);
    if (refusal !== undefined) return refusal;
    this.#leaseUntil = Math.max(this.#leaseUntil, renewal.leaseUntil);
    const isAcknowledged = this.#sequence <= renewal.acknowledged;
    if (isAcknowledged && !renewal.full && renewal.waitMs > 0)
      await this.#waitForChange(renewal.waitMs);
    return { status: 200, body: this.#createAnswer(renewal) };
  }

  #createAnswer({ authority, acknowledged, full, leaseUntil }: Renewal): WorkerAnswer {
    const tasks = [...this.#tasks.values()];
    const changed = tasks.filter(({ sequence }) => sequence > acknowledged);
    const isOwned = authority.epoch === this.#epoch && authority.owner === this.#owner;
    return {
      clockMs: this.#now,
      sequence: this.#sequence,
      ...(authority.bootId === this.#bootId ? {} : { bootId: this.#bootId }),
      ...(this.#isLeaving ? { state: 'leaving' as const } : {}),
      ...(leaseUntil === this.#leaseUntil ? {} : { leaseUntil: this.#leaseUntil }),
      ...(isOwned ? {} : { epoch: this.#epoch, owner: this.#owner }),
      ...(full
        ? {
            description: this.#createDescription(),
            tasks: tasks.map((task) => task.createReport()),
          }
        : {}),
      ...(full || changed.length === 0
        ? {}
        : { changes: changed.map((task) => task.createDelta()) }),
    };
  }

  #createDescription(): WorkerDescription {
    const { id, dataCentre, rack, capacity, acceleratorType, speed } = this.options;
    return {
      worker: id,
      dataCentre,
      rack,
      room: capacity,
      speed: speed ?? 1,
      ...(acceleratorType === undefined ? {} : { acceleratorType }),
    };
  }

  #publishChange(task: TaskFake): void {
    this.#recordChange(task);
    this.#wakeWaiters();
  }

  #recordChange(task: TaskFake): void {
    this.#hasExceededCapacity ||= this.usage.processors > this.options.capacity.processors;
    this.#sequence += 1;
    task.setSequence(this.#sequence);
  }

  #wakeWaiters(): void {
    for (const resume of [...this.#waiters]) resume();
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      this.#waiters.add(resume);
    });
  }

  /** Ends all running tasks once the lease has expired. */
  #expireLease(): void {
    if (this.#now < this.#leaseUntil) return;
    for (const task of this.#listRunning()) task.end('lapsed', 'the lease expired');
  }
}
