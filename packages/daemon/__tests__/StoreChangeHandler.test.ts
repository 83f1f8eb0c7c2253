import { Scheduler } from '@toucanline/jobs';
import type { JobRecord } from '@toucanline/schema';
import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import type { JobCleanup } from '../src/JobCleanup.js';
import type { LeaderDependencies } from '../src/LeaderDependencies.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { StoreChangeHandler } from '../src/StoreChangeHandler.js';
import { storeKeys } from '../src/storeKeys.js';

const createRecord = (id: string, acceptedAtMs: number): JobRecord => ({
  id,
  queue: 'q',
  account: 'planning',
  specification: {
    payload: '',
    steps: [
      {
        taskCount: 1,
        size: { milliProcessors: 1, memoryMb: 1, accelerators: 0 },
        estimateMs: 1,
        dependsOn: [],
      },
    ],
  },
  acceptedAtMs,
  isCancelled: false,
});

const createItem = (record: JobRecord) => ({
  key: storeKeys.jobPrefix + record.id,
  value: JSON.stringify(record),
  revision: 1,
});

/** Load pattern: a takeover with many finished jobs and a backlog of one account. */
describe('stored jobs of a new leader', () => {
  const createHandler = (): {
    readonly scheduler: Scheduler;
    readonly handler: StoreChangeHandler;
  } => {
    const scheduler = new Scheduler(2, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    const leaderLease = new LeaderLease(2, 10, 1);
    leaderLease.recordRenewal(performance.now(), Date.now());
    const log = new EventLog('test', new HostMetrics());
    const cleanup = { removeMarker: () => undefined } as unknown as JobCleanup;
    const handler = new StoreChangeHandler(
      { log } as unknown as LeaderDependencies,
      leaderLease,
      scheduler,
      cleanup,
      () => undefined,
    );
    return { scheduler, handler };
  };

  // Guards against a takeover that waits until every finished job is decoded: 2,868 stored jobs took 0.46 s.
  it('are applied at once only if they are not finished', () => {
    const { scheduler, handler } = createHandler();
    const progress = { id: 'done', state: 'completed', finishedAtMs: 5, steps: [] };
    handler.applyProgress({ key: 'p', value: JSON.stringify(progress), revision: 1 }, 0);
    const [open, done] = [createItem(createRecord('open', 1)), createItem(createRecord('done', 2))];
    expect(handler.applyStoredJobs([done, open])).to.deep.equal([done]);
    expect(scheduler.findJobState('open')).to.equal('queued');
    expect(scheduler.findJobState('done')).to.equal(undefined);
    handler.applyJob(done);
    expect(scheduler.findJobState('done')).to.equal('completed');
  });

  // Guards against jobs that count as beyond the rate of their account because they were read in the order of their ids.
  it('count against the rate of their account in the order of their acceptance', () => {
    const { scheduler, handler } = createHandler();
    scheduler.configure({
      ...{ version: 1, queues: [], services: [], maxBodyBytes: 1 },
      accounts: [{ name: 'planning', weight: 1, keys: [] }],
    });
    const now = Date.now();
    const records = [3, 0, 4, 1, 2].map((age) => createRecord(`job-${age}`, now - age * 1000));
    const added: string[] = [];
    const addJob = scheduler.addJob.bind(scheduler);
    scheduler.addJob = (...call: Parameters<Scheduler['addJob']>): void => {
      added.push(call[0].id);
      addJob(...call);
    };
    handler.applyStoredJobs(records.map(createItem));
    expect(added).to.deep.equal(['job-4', 'job-3', 'job-2', 'job-1', 'job-0']);
  });
});

describe('worker entries of a leader', () => {
  // Guards against a worker whose ended incarnation replaces the current one: a list that is read after a watch may show
  // an entry that is older than the one before, and the lives tell no order.
  it('replace the incarnation of a worker in the order of their revisions', () => {
    const scheduler = new Scheduler(2, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    const leaderLease = new LeaderLease(2, 10, 1);
    leaderLease.recordRenewal(performance.now(), Date.now());
    const decodeWorker = (_key: string, value: string): unknown => ({
      ...{ id: 'w1', service: 's', address: 'w1:1', dataCentre: 'd', isDraining: false },
      ...{ life: Number(value), capacity: { milliProcessors: 1, memoryMb: 1, accelerators: 0 } },
      labels: [],
    });
    const dependencies = {
      log: new EventLog('test', new HostMetrics()),
      decoder: { workerPrefix: 'w/', decodeWorker },
    } as unknown as LeaderDependencies;
    const added: number[] = [];
    const handler = new StoreChangeHandler(
      dependencies,
      leaderLease,
      scheduler,
      {} as unknown as JobCleanup,
      ({ life }) => added.push(life),
    );
    handler.applyWorker({ key: 'w/w1', value: '9', revision: 10 });
    handler.applyWorker({ key: 'w/w1', value: '4', revision: 12 });
    handler.applyWorker({ key: 'w/w1', value: '7', revision: 11 });
    expect(added).to.deep.equal([9, 4]);
  });
});
