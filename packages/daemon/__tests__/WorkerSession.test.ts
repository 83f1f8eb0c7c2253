import { Scheduler, WorkerClient, type Worker } from '@toucanline/jobs';
import type { WorkerEntry, WorkerReport } from '@toucanline/schema';
import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { ReportPacing } from '../src/ReportPacing.js';
import type { SessionContext } from '../src/SessionContext.js';
import { WorkerSession } from '../src/WorkerSession.js';
import { WorkerSessions } from '../src/WorkerSessions.js';

const entry: WorkerEntry = {
  id: 'w1',
  life: 1,
  service: 'render',
  address: 'w1:1',
  dataCentre: 'dc1',
  isDraining: false,
  capacity: { milliProcessors: 16_000, memoryMb: 32_000, accelerators: 0 },
  labels: [],
};

/** Client of workers that run as the given incarnation. */
class StubWorkerClient extends WorkerClient {
  public life = 1;
  /** Longest waits of the report requests that acknowledge run ends, in milliseconds. */
  public readonly acknowledgingWaitsMs: number[] = [];
  public running: WorkerReport['running'] = [];
  public ended: WorkerReport['ended'] = [];
  /** Incarnations to which report requests were addressed. */
  public readonly polledLives: number[] = [];

  public override start(): ReturnType<WorkerClient['start']> {
    return Promise.resolve({ outcome: 'started', clockMs: 0 });
  }

  public override stop(): ReturnType<WorkerClient['stop']> {
    return Promise.resolve('confirmed');
  }

  public override requestReport(
    { life }: WorkerEntry,
    _term: number,
    acknowledgedThrough: number,
    _leaseUntilMs: number | undefined,
    waitMs: number,
  ): Promise<WorkerReport> {
    this.polledLives.push(life);
    if (acknowledgedThrough > 0) {
      this.acknowledgingWaitsMs.push(waitMs);
      this.ended = [];
    }
    const { running, ended } = this;
    return Promise.resolve({ life: this.life, clockMs: 0, running, ended });
  }

  public override releaseAddress(): void {
    // Holds no connections.
  }
}

const waitForReports = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 20));

describe('worker session', () => {
  let workerClient: StubWorkerClient;
  let leaderLease: LeaderLease;
  let scheduler: Scheduler;
  let worker: Worker;
  let context: SessionContext;

  beforeEach(() => {
    workerClient = new StubWorkerClient();
    leaderLease = new LeaderLease(1, 1, 1);
    leaderLease.recordRenewal(performance.now(), Date.now());
    scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    const added = scheduler.updateWorker(entry, false);
    if (added === undefined) throw new Error('the worker is known');
    worker = added;
    context = {
      ...{ scheduler, workerClient, leaderLease, reportWaitMs: 0 },
      log: new EventLog('test', new HostMetrics()),
      pacing: new ReportPacing(1, 0),
      onChange: () => undefined,
      onFenced: () => undefined,
    };
  });

  const startTask = (outcome: 'started' | 'unknown' = 'started'): void => {
    const size = { milliProcessors: 1, memoryMb: 1, accelerators: 0 };
    scheduler.configure({
      ...{ version: 1, services: [], accounts: [], maxBodyBytes: 1 },
      queues: [
        {
          ...{ name: 'q', host: 'h', prefix: '/', service: 'render', priority: 1 },
          ...{ maxAttempts: 1, stretch: 1, objectiveMs: 1, isOpen: true },
        },
      ],
    });
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    const specification = {
      payload: '',
      steps: [{ taskCount: 1, size, estimateMs: 1, dependsOn: [] }],
    };
    scheduler.addJob(
      { id: 'a', queue: 'q', account: '', specification, acceptedAtMs: 0, isCancelled: false },
      2,
      0,
    );
    const [start] = scheduler.plan(1, 1);
    if (start?.kind !== 'start') throw new Error('the plan has no start command');
    scheduler.handleStartOutcome(start, outcome, 2);
  };

  // Guards against a lease that a former leader extends: the report that checks a stop is requested by a timer, which may
  // fire after the leader was deposed.
  it('requests no report at once after the leader lease was lost or the session was stopped', async () => {
    const session = new WorkerSession(worker, context);
    await session.pollNow();
    expect(workerClient.polledLives).to.deep.equal([1]);
    leaderLease.markLost();
    await session.pollNow();
    const stopped = new WorkerSession(worker, {
      ...context,
      leaderLease: new LeaderLease(2, 2, 2),
    });
    stopped.stop();
    await stopped.pollNow();
    expect(workerClient.polledLives).to.deep.equal([1]);
  });

  // Guards against a worker that stays suspended for ever: it did not answer for longer than its leases, so its tasks were
  // released, and nothing called it any more.
  it('polls an idle worker that did not answer until it does', async () => {
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    for (const failedAt of [1, 2]) worker.recordCallFailure(failedAt, failedAt);
    const session = new WorkerSession(worker, context);
    void session.run();
    await waitForReports();
    session.stop();
    expect(worker.callFailures).to.equal(0);
  });

  // Guards against a clock that is extrapolated for minutes, where the lease of a start must end at a given time, and
  // against calls to idle workers elsewhere.
  it('reads the clock of an idle worker at intervals only if that is required', async () => {
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    const session = new WorkerSession(worker, context);
    void session.run();
    await waitForReports();
    session.stop();
    expect(workerClient.polledLives).to.deep.equal([]);
    const reading = new WorkerSession(worker, { ...context, idleReportMs: 5 });
    void reading.run();
    await new Promise((resolve) => setTimeout(resolve, 200));
    reading.stop();
    expect(workerClient.polledLives.length).to.be.above(1);
    expect(worker.lastContactAt).to.be.above(0);
  });

  // Guards against an end that the next incarnation of a worker discards: a request that is open at a restart may be executed
  // late, after a start that is also executed late. Without such a start the next incarnation refuses the request, and a
  // request that does not wait would only add another one.
  it('lets the worker delay a report whose request acknowledges run ends only if no start may be late', async () => {
    startTask('unknown');
    workerClient.ended = [{ number: 1, task: 'b.0.0.0', run: 1, outcome: 'done', checkpoint: '' }];
    const session = new WorkerSession(worker, { ...context, reportWaitMs: 1000 });
    void session.run();
    await waitForReports();
    scheduler.progress.confirmBatch(scheduler.progress.takeBatch());
    session.wake();
    await waitForReports();
    session.stop();
    expect(workerClient.acknowledgingWaitsMs).to.deep.equal([0]);
  });

  // Guards against two requests for each end of a run on a busy worker, one to acknowledge it and one to wait.
  it('lets the worker delay a report whose request acknowledges run ends', async () => {
    startTask();
    workerClient.running = [{ task: 'a.0.0.0', run: 1, checkpoint: '', percent: 0, load: 0 }];
    workerClient.ended = [{ number: 1, task: 'b.0.0.0', run: 1, outcome: 'done', checkpoint: '' }];
    const session = new WorkerSession(worker, { ...context, reportWaitMs: 1000 });
    void session.run();
    await waitForReports();
    scheduler.progress.confirmBatch(scheduler.progress.takeBatch());
    session.wake();
    await waitForReports();
    session.stop();
    expect(workerClient.acknowledgingWaitsMs).to.deep.equal([1000]);
  });

  // Guards against an incarnation that nobody surveys because its entry has not arrived.
  it('is opened for an incarnation that only a report has shown', async () => {
    const sessions = new WorkerSessions(context, 1);
    startTask();
    workerClient.life = 9;
    sessions.add(worker);
    await waitForReports();
    sessions.update(scheduler.workers);
    await waitForReports();
    sessions.stopAll();
    expect(workerClient.polledLives).to.include(9);
    expect(scheduler.workers.map(({ life, isSurveyed }) => ({ life, isSurveyed }))).to.deep.equal([
      { life: 9, isSurveyed: true },
    ]);
  });
});
