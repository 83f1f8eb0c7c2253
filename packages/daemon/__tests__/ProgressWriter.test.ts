import { Scheduler, type Worker } from '@toucanline/jobs';
import type { JobRecord, Placements } from '@toucanline/schema';
import { expect } from 'chai';
import { AllowanceMonitor } from '../src/AllowanceMonitor.js';
import { EventLog } from '../src/EventLog.js';
import { HostMetrics } from '../src/HostMetrics.js';
import { hostLimits } from '../src/hostLimits.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { ProgressWriter } from '../src/ProgressWriter.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

const step = {
  taskCount: 2,
  size: { milliProcessors: 1, memoryMb: 1, accelerators: 0 },
  estimateMs: 1,
  dependsOn: [],
};

const record: JobRecord = {
  id: 'a',
  queue: 'batch',
  account: '',
  specification: {
    payload: '',
    steps: [step],
  },
  acceptedAtMs: 0,
  isCancelled: false,
};

const entry = {
  id: 'w',
  life: 1,
  service: 's',
  address: 'w:1',
  dataCentre: 'dc1',
  isDraining: false,
  capacity: { milliProcessors: 1000, memoryMb: 1000, accelerators: 0 },
  labels: [],
};

describe('progress writer', () => {
  let store: MemoryStore;
  let scheduler: Scheduler;
  let worker: Worker;
  let writer: ProgressWriter;
  let leaseLossCount: number;
  let raiseCount: number;

  const reportEnd = (number: number, taskIndex: number): void => {
    const ended = [
      { number, task: `a.0.0.${taskIndex}`, run: 1, outcome: 'done', checkpoint: '' } as const,
    ];
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended }, 0, 0, 0);
  };

  beforeEach(() => {
    store = new MemoryStore();
    const leaderLease = new LeaderLease(1, store.put(storeKeys.holder, 'leader'), 1);
    scheduler = new Scheduler(1, leaderLease.holderRevision, 0, {
      maxStopMs: 200,
      maxLeaseMs: 6000,
    });
    const added = scheduler.updateWorker(entry, false);
    if (added === undefined) throw new Error('the worker is known');
    worker = added;
    scheduler.addJob(record, 1, 0);
    scheduler.plan(0, 0);
    leaseLossCount = 0;
    raiseCount = 0;
    writer = new ProgressWriter(
      store,
      scheduler,
      leaderLease,
      0,
      new EventLog('test', new HostMetrics()),
      {
        onWritten: () => undefined,
        onAllowancesRaised: () => {
          raiseCount += 1;
        },
        onLeaseLost: () => {
          leaseLossCount += 1;
        },
      },
    );
  });

  afterEach(() => {
    writer.stop();
  });

  it('acknowledges an end only after it was written', async () => {
    reportEnd(1, 0);
    store.fault = 'refused';
    await writer.flush();
    expect(worker.acknowledgedThrough).to.equal(0);
    store.fault = 'none';
    expect(scheduler.progress.hasPending).to.equal(true);
  });

  // Guards against two concurrent writes, of which the empty one acknowledges ends that the other has not written yet.
  // Seen at a planned handover on site cpwgo, day trouble-2, as a task that ran twice (TWICE).
  it('waits for a running write before the last one', async () => {
    reportEnd(1, 0);
    writer.requestWrite();
    reportEnd(2, 1);
    await writer.flush();
    expect(worker.acknowledgedThrough).to.equal(2);
    expect(store.get(`${storeKeys.progressPrefix}a`)).to.include('completed');
    expect(scheduler.findJobState('a')).to.equal('completed');
  });

  // Guards against two last writes side by side, when the process is asked to stop during a hand-over to a fitter host.
  it('writes a last time only once', async () => {
    reportEnd(1, 0);
    const before = store.commits;
    await Promise.all([writer.flush(), writer.flush()]);
    await writer.flush();
    expect(store.commits - before).to.equal(1);
    expect(worker.acknowledgedThrough).to.equal(1);
  });

  // Guards against an older write that takes effect after newer ones, so that completed tasks run again.
  it('is not overwritten by an earlier write that takes effect late', async () => {
    reportEnd(1, 0);
    store.fault = 'late';
    writer.requestWrite();
    await new Promise((resolve) => setTimeout(resolve, 20));
    reportEnd(2, 1);
    await writer.flush();
    const written = store.get(`${storeKeys.progressPrefix}a`);
    expect(written).to.include('completed');
    store.applyLateCommits();
    expect(store.get(`${storeKeys.progressPrefix}a`)).to.equal(written);
  });

  // Guards against placements of the whole fleet in each write of progress, which on 245 workers took more than the
  // link of the leader carries; and against a successor that learns stale ones at a planned hand-over.
  it('writes the placements at intervals, and with the last write', async () => {
    const readRevision = async (): Promise<number | undefined> =>
      (await store.read(storeKeys.placements))._unsafeUnwrap()?.revision;
    reportEnd(1, 0);
    writer.requestWrite();
    await new Promise((resolve) => setTimeout(resolve, 20));
    const first = await readRevision();
    reportEnd(2, 1);
    writer.requestWrite();
    await new Promise((resolve) => setTimeout(resolve, 40));
    expect(store.get(`${storeKeys.progressPrefix}a`)).to.include('completed');
    expect(await readRevision()).to.equal(first);
    scheduler.addJob({ ...record, id: 'b' }, 2, 0);
    scheduler.plan(0, 0);
    scheduler.handleReport(
      worker,
      {
        life: 1,
        clockMs: 0,
        running: [],
        ended: [{ number: 3, task: 'b.0.0.0', run: 1, outcome: 'done', checkpoint: '' }],
      },
      0,
      0,
      0,
    );
    await writer.flush();
    expect(await readRevision()).to.be.above(first ?? 0);
  });

  // Load pattern: a burst of short jobs beside many wide ones, while the store takes 20 ms a transaction. Guards against
  // callers who wait until the partial progress of all other jobs is written: with a store of 175 ms 40 of 130 jobs a
  // second were shown as completed (site donauhafen-lager-grown, recorded day inc-cf0d).
  it('writes finished jobs first while the store is slow, and acknowledges only what is all written', async () => {
    const commit = store.commit.bind(store);
    store.commit = async (transaction): ReturnType<MemoryStore['commit']> => {
      await new Promise((resolve) => setTimeout(resolve, 20));
      return commit(transaction);
    };
    const partial = Array.from({ length: 100 }, (_, index) => `partial-${index}`);
    const finished = Array.from({ length: 10 }, (_, index) => `finished-${index}`);
    const oneTask = { payload: '', steps: [{ ...step, taskCount: 1 }] };
    for (const id of partial) scheduler.addJob({ ...record, id }, 2, 0);
    for (const id of finished) scheduler.addJob({ ...record, id, specification: oneTask }, 2, 0);
    scheduler.plan(0, 0);
    const ended = [...partial, ...finished].map(
      (id, index) =>
        ({
          number: index + 1,
          task: `${id}.0.0.0`,
          run: 1,
          outcome: 'done',
          checkpoint: '',
        }) as const,
    );
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended }, 0, 0, 0);
    writer.requestWrite();
    await new Promise((resolve) => setTimeout(resolve, 30));
    expect(finished.map((id) => scheduler.findJobState(id))).to.deep.equal(
      finished.map(() => 'completed'),
    );
    expect(worker.acknowledgedThrough).to.equal(0);
    await new Promise((resolve) => setTimeout(resolve, 250));
    expect(worker.acknowledgedThrough).to.equal(ended.length);
    expect(store.get(`${storeKeys.progressPrefix}partial-99`)).to.include('"done":[0]');
  });

  it('stops when the store has another leader', async () => {
    store.put(storeKeys.holder, 'other');
    reportEnd(1, 0);
    await writer.flush();
    expect(leaseLossCount).to.equal(1);
    expect(worker.acknowledgedThrough).to.equal(0);
  });

  describe('of an account with a cap', () => {
    beforeEach(() => {
      const size = { milliProcessors: 400, memoryMb: 1, accelerators: 0 };
      scheduler.configure({
        ...{ version: 1, services: [], maxBodyBytes: 1 },
        accounts: [{ name: 'planning', weight: 1, keys: [], cap: size }],
        queues: [
          {
            ...{ name: 'batch', host: 'h', prefix: '/', service: 's', priority: 1 },
            ...{ maxAttempts: 1, stretch: 1, objectiveMs: 1, isOpen: false },
          },
        ],
      });
      scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
      const specification = { payload: '', steps: [{ ...step, size }] };
      scheduler.addJob({ ...record, id: 'b', account: 'planning', specification }, 2, 0);
      scheduler.plan(1, 1);
      const { allowances } = scheduler.beginPlacementsWrite(false);
      scheduler.capAllowances.confirmWrite(allowances);
      scheduler.plan(2, 2);
      expect([...worker.tasks].some((task) => task.step.job.id === 'b')).to.equal(true);
    });

    const placed = '"worker":"w","life":1,"account":"planning"';

    // Guards against a cap that is exceeded after a change of the leader: nothing had ended since the tasks of the
    // account had started, so the next leader did not count them on a worker that it could not reach.
    it('writes the usage although nothing has ended', async () => {
      expect(scheduler.progress.hasPending).to.equal(false);
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(store.get(storeKeys.placements)).to.include(placed);
      const { commits } = store;
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 250));
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(store.commits).to.equal(commits);
    });

    it('writes the usage before the leader lease is given up', async () => {
      await writer.flush();
      expect(store.get(storeKeys.placements)).to.include(placed);
    });

    it('writes the usage again after a write without effect', async () => {
      store.fault = 'refused';
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 150));
      expect(store.get(storeKeys.placements)).to.equal(undefined);
      store.fault = 'none';
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(store.get(storeKeys.placements)).to.include(placed);
    });
  });

  describe('of an account that needs a higher allowance', () => {
    const plan = async (now: number): Promise<number> => {
      scheduler.plan(now, now);
      writer.requestWrite();
      await new Promise((resolve) => setTimeout(resolve, 20));
      scheduler.plan(now, now);
      return [...worker.tasks].filter((task) => task.step.job.account.hasCap).length;
    };
    const addJob = (id: string, taskCount: number): void => {
      const size = { milliProcessors: 10, memoryMb: 0, accelerators: 0 };
      const specification = { payload: '', steps: [{ ...step, taskCount, size }] };
      scheduler.addJob({ ...record, id, account: 'planning', specification }, 2, 0);
    };
    const readAllowance = (): number | undefined =>
      (JSON.parse(store.get(storeKeys.placements) ?? '{}') as Partial<Placements>).allowances?.[0]
        ?.room.milliProcessors;

    beforeEach(async () => {
      const cap = { milliProcessors: 800, memoryMb: 0, accelerators: 0 };
      scheduler.configure({
        ...{ version: 1, services: [], maxBodyBytes: 1 },
        accounts: [{ name: 'planning', weight: 1, keys: [], cap }],
        queues: [
          {
            ...{ name: 'batch', host: 'h', prefix: '/', service: 's', priority: 1 },
            ...{ maxAttempts: 1, stretch: 1, objectiveMs: 1, isOpen: false },
          },
        ],
      });
      scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
      expect(await plan(1)).to.equal(0);
      expect(readAllowance()).to.equal(100);
    });

    // Guards against an idle account that waits for the interval of the placements.
    it('stores it at once, but only a few times a second', async () => {
      const { commits } = store;
      addJob('c', 20);
      expect(await plan(2)).to.equal(20);
      addJob('d', 12);
      expect(await plan(3)).to.equal(32);
      addJob('e', 12);
      expect(await plan(4)).to.equal(44);
      expect(raiseCount).to.equal(4);
      addJob('f', 20);
      expect(await plan(5)).to.be.below(64);
      expect(store.commits - commits).to.equal(3);
      await new Promise((resolve) => setTimeout(resolve, 250));
      expect(await plan(6)).to.equal(64);
    });

    // Guards against a higher allowance that is used although its write may have had no effect, and against an earlier
    // write that takes effect after a later one.
    it('keeps to the lower one after a write without a response', async () => {
      addJob('c', 20);
      store.fault = 'late';
      expect(await plan(2)).to.equal(10);
      await new Promise((resolve) => setTimeout(resolve, 250));
      expect(await plan(3)).to.equal(20);
      const stored = store.get(storeKeys.placements);
      store.applyLateCommits();
      expect(store.get(storeKeys.placements)).to.equal(stored);
    });

    // Guards against a successor that waits for an allowance which the leader no longer needs.
    it('stores what is in use before the leader lease is given up', async () => {
      addJob('c', 20);
      expect(await plan(2)).to.equal(20);
      await writer.flush();
      expect(readAllowance()).to.equal(200);
    });

    it('reports that starts wait while the store is unavailable', async () => {
      const metrics = new HostMetrics();
      const log = new EventLog('test', metrics);
      const monitor = new AllowanceMonitor(scheduler.capAllowances, log, metrics);
      addJob('c', 20);
      store.fault = 'refused';
      await plan(2);
      monitor.update(2 + hostLimits.allowanceDelayLogMs);
      const rendered = await metrics.render();
      expect(rendered).to.include('toucanline_accounts_awaiting_allowance 1');
      expect(rendered).to.include('toucanline_events_total{event="allowanceDelayed"} 1');
    });
  });
});
