import { Scheduler, type Worker } from '@toucanline/jobs';
import type { JobRecord } from '@toucanline/schema';
import { expect } from 'chai';
import { EventLog } from '../src/EventLog.js';
import { HostMetrics } from '../src/HostMetrics.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { ProgressWriter } from '../src/ProgressWriter.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

const record: JobRecord = {
  id: 'a',
  queue: 'batch',
  account: '',
  specification: {
    payload: '',
    steps: [
      {
        taskCount: 2,
        size: { milliProcessors: 1, memoryMb: 1, accelerators: 0 },
        estimateMs: 1,
        dependsOn: [],
      },
    ],
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
  capacity: { milliProcessors: 10, memoryMb: 10, accelerators: 0 },
  labels: [],
};

describe('writing progress', () => {
  let store: MemoryStore;
  let scheduler: Scheduler;
  let worker: Worker;
  let writer: ProgressWriter;
  let losses: number;

  const end = (number: number, index: number): void => {
    const ended = [
      { number, task: `a.0.0.${index}`, run: 1, outcome: 'done', checkpoint: '' } as const,
    ];
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended }, 0, 0, 0);
  };

  beforeEach(() => {
    store = new MemoryStore();
    const claim = new LeaderLease(1, store.put(storeKeys.holder, 'leader'), 1);
    scheduler = new Scheduler(1, claim.holderRevision, 0, 200);
    const added = scheduler.updateWorker(entry, false);
    if (added === undefined) throw new Error('the worker is known');
    worker = added;
    scheduler.addJob(record, 1, 0);
    scheduler.plan(0, 0);
    losses = 0;
    writer = new ProgressWriter(
      store,
      scheduler,
      claim,
      0,
      new EventLog('test', new HostMetrics()),
      () => undefined,
      () => {
        losses += 1;
      },
    );
  });

  afterEach(() => {
    writer.stop();
  });

  it('acknowledges an end only once it was written', async () => {
    end(1, 0);
    store.fault = 'refused';
    await writer.flush();
    expect(worker.acknowledgedThrough).to.equal(0);
    store.fault = 'none';
    expect(scheduler.progress.hasPending).to.equal(true);
  });

  // Guards against two writes side by side, the empty one of which acknowledges what the other has not written
  // (TWICE on cpwgo trouble-2, at a planned handover).
  it('waits for the write under way before the last one', async () => {
    end(1, 0);
    writer.requestWrite();
    end(2, 1);
    await writer.flush();
    expect(worker.acknowledgedThrough).to.equal(2);
    expect(store.get(`${storeKeys.progressPrefix}a`)).to.include('completed');
    expect(scheduler.findJobState('a')).to.equal('completed');
  });

  // Guards against an older write that takes effect after newer ones and makes done tasks run again.
  it('cannot be overtaken by an earlier write that takes effect late', async () => {
    end(1, 0);
    store.fault = 'late';
    writer.requestWrite();
    await new Promise((resolve) => setTimeout(resolve, 20));
    end(2, 1);
    await writer.flush();
    const written = store.get(`${storeKeys.progressPrefix}a`);
    expect(written).to.include('completed');
    store.applyLateCommits();
    expect(store.get(`${storeKeys.progressPrefix}a`)).to.equal(written);
  });

  it('stops once another leader holds the key', async () => {
    store.put(storeKeys.holder, 'other');
    end(1, 0);
    await writer.flush();
    expect(losses).to.equal(1);
    expect(worker.acknowledgedThrough).to.equal(0);
  });
});
