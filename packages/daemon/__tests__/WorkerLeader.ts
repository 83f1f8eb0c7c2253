import { Scheduler, type WorkerClient } from '@toucanline/jobs';
import type { SiteConfiguration, WorkerEntry } from '@toucanline/schema';
import { EventLog, HostMetrics, computeHostTimes } from '../src/index.js';
import { CommandDispatcher } from '../src/CommandDispatcher.js';
import type { LeaderDependencies } from '../src/LeaderDependencies.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { WorkerSessions } from '../src/WorkerSessions.js';
import { waitUntil } from './waitUntil.js';

const site: SiteConfiguration = {
  ...{ version: 1, services: [], accounts: [], maxBodyBytes: 1 },
  queues: [
    {
      ...{ name: 'q', host: 'h', prefix: '/', service: 'render', priority: 1 },
      ...{ maxAttempts: 3, stretch: 1, objectiveMs: 1, isOpen: true },
    },
  ],
};
const size = { milliProcessors: 1, memoryMb: 1, accelerators: 0 };
const term = 1;
const bounds = { stopMs: 100, statusMs: 120_000, revokeMs: 5000, graceMs: 6000 };
/** Leader lease that is valid while the test says so. */
class SwitchedLease extends LeaderLease {
  public isHeld = true;

  public override get isValid(): boolean {
    return this.isHeld;
  }

  public override get canIssueCommands(): boolean {
    return this.isHeld;
  }
}

/** The parts of a leader that talk to workers. A test decides when it plans and when its progress is stored. */
export class WorkerLeader {
  public readonly scheduler: Scheduler;
  /** Reasons for which the leader lease was given up. */
  public readonly losses: string[] = [];
  readonly #lease = new SwitchedLease(term, 1, 1);
  readonly #sessions: WorkerSessions;
  readonly #dispatcher: CommandDispatcher;
  #revision = 2;

  public constructor(workerClient: WorkerClient, maxLeaseMs = 6000) {
    const times = computeHostTimes({ ...bounds, maxLeaseMs });
    this.scheduler = new Scheduler(term, 1, performance.now(), times.worker);
    this.scheduler.configure(site);
    const leaderLease = this.#lease;
    const metrics = new HostMetrics();
    const log = new EventLog('test', metrics);
    const onLeaseLost = (reason: string): void => {
      this.losses.push(reason);
    };
    const onFenced = (): void => {
      onLeaseLost('fenced');
    };
    const { scheduler } = this;
    this.#sessions = new WorkerSessions(
      {
        ...{ scheduler, workerClient, leaderLease, log, onFenced },
        ...{ reportWaitMs: times.reportWaitMs, onChange: () => undefined },
      },
      1,
    );
    this.#dispatcher = new CommandDispatcher(
      { workerClient, log, metrics, times, onLeaseLost } as unknown as LeaderDependencies,
      leaderLease,
      scheduler,
      (worker) => this.#sessions.find(worker),
      () => undefined,
      () => Infinity,
    );
  }

  /** Sets whether the leader holds its lease. Without it the leader issues no commands. */
  public setLeaseHeld(isHeld: boolean): void {
    this.#lease.isHeld = isHeld;
  }

  /** Lists an incarnation of a worker, and waits until it is surveyed. */
  public async addWorker(id: string, life = 1): Promise<void> {
    this.scheduler.updateWorker(this.#createEntry(id, life, false), false);
    this.plan();
    const isSurveyed = (): boolean =>
      this.scheduler.workers.some((each) => each.id === id && each.isSurveyed);
    await waitUntil(isSurveyed, `${id} is surveyed`);
  }

  /** Lists a worker as draining, so that it gets no further tasks, or as ready again. */
  public setDraining(id: string, isDraining: boolean): void {
    this.scheduler.updateWorker(this.#createEntry(id, 1, isDraining), false);
  }

  public submit(id: string): void {
    const steps = [{ taskCount: 1, size, estimateMs: 1, dependsOn: [] }];
    const record = { id, queue: 'q', account: '', specification: { payload: '', steps } };
    this.#revision += 1;
    this.scheduler.addJob(
      { ...record, acceptedAtMs: 0, isCancelled: false },
      this.#revision,
      performance.now(),
    );
    this.plan();
  }

  public plan(): void {
    if (!this.#lease.canIssueCommands) return;
    const now = performance.now();
    this.#sessions.update(this.scheduler.workers);
    // The roster manager suspends a worker that does not answer, once that is stored: it gets no further leases.
    for (const worker of this.scheduler.workers)
      if (worker.callFailures >= 2) worker.suspend();
      else worker.resume();
    this.#dispatcher.dispatch(this.scheduler.plan(now, Date.now()), now);
  }

  /** Confirms that the progress is stored, so that ends of runs may be acknowledged. */
  public storeProgress(): void {
    const { progress } = this.scheduler;
    progress.confirmBatch(progress.takeBatch());
    this.#sessions.wakeAll();
  }

  public stop(): void {
    this.#sessions.stopAll();
    this.#dispatcher.stop();
  }

  #createEntry(id: string, life: number, isDraining: boolean): WorkerEntry {
    return {
      ...{ id, life, service: 'render', address: `${id}:1`, dataCentre: 'dc1', labels: [] },
      ...{ isDraining, capacity: { ...size, milliProcessors: 2, memoryMb: 2 } },
    };
  }
}
