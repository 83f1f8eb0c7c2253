import { Scheduler, type Worker } from '@toucanline/jobs';
import type { WorkerEntry } from '@toucanline/schema';
import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import { LeaderLease } from '../src/LeaderLease.js';
import type { LeaderDependencies } from '../src/LeaderDependencies.js';
import { RosterManager } from '../src/RosterManager.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

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

const noRuns = { life: 1, clockMs: 0, running: [], ended: [] };

const settle = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 5));

describe('the roster of workers', () => {
  let store: MemoryStore;
  let lost: string[];

  beforeEach(() => {
    store = new MemoryStore();
    lost = [];
  });

  /** A leader in a term, which holds the claim until another one is created. */
  const lead = (
    term: number,
  ): { readonly scheduler: Scheduler; readonly keeper: RosterManager } => {
    const revision = store.put(storeKeys.holder, String(term));
    const claim = new LeaderLease(term, revision, term);
    claim.recordRenewal(performance.now(), Date.now());
    const scheduler = new Scheduler(term, revision, 0, 200);
    const parts = {
      store,
      log: new EventLog('test', new HostMetrics()),
      onLeaseLost: (reason: string) => lost.push(reason),
    };
    const keeper = new RosterManager(
      parts as unknown as LeaderDependencies,
      claim,
      scheduler,
      () => undefined,
    );
    return { scheduler, keeper };
  };

  const inherit = async (keeper: RosterManager): Promise<readonly Worker[]> => {
    const roster = (await store.read(storeKeys.roster))._unsafeUnwrap();
    const suspensions = (await store.read(storeKeys.suspensions))._unsafeUnwrap();
    return keeper.restore(roster, suspensions);
  };

  const list = (scheduler: Scheduler): Worker => {
    const worker = scheduler.updateWorker(entry, false);
    if (worker === undefined) throw new Error('the worker is known');
    scheduler.handleReport(worker, noRuns, 0, 0, 0);
    return worker;
  };

  // Guards against orders to a worker of which a successor knows nothing.
  it('lets orders to a new worker through only once the store has it', async () => {
    const { scheduler, keeper } = lead(1);
    const worker = list(scheduler);
    keeper.update(1);
    expect(worker.isSuspended).to.equal(true);
    await settle();
    expect(worker.isSuspended).to.equal(false);
    expect(store.get(storeKeys.roster)).to.include('"id":"w1"');
  });

  // Pattern: a worker is lost, and the leader as well a little later (cpwgo scale-2). Guards against a successor that waits
  // for leases that were never granted, and against orders to a worker that it no longer counts on.
  it('tells a successor how long a worker out of reach may still run something', async () => {
    const { scheduler, keeper } = lead(1);
    const worker = list(scheduler);
    keeper.update(1);
    await settle();
    worker.extendLease(1000);
    worker.recordCallFailure(1400, 1000);
    worker.recordCallFailure(2100, 1700);
    keeper.update(2100);
    expect(worker.isSuspended).to.equal(true);
    await settle();
    const next = lead(2);
    const [again] = await inherit(next.keeper);
    if (again === undefined) throw new Error('nothing was inherited');
    expect(again.isSuspended).to.equal(true);
    const remainingMs = next.scheduler.remainingMs(again, 0);
    expect(remainingMs).to.equal(Math.ceil(scheduler.remainingMs(worker, 2100)));
    expect(remainingMs).to.be.within(4000, 5500);
  });

  // Guards against a lease that a successor does not count on: the store must say first that the worker resumes.
  it('resumes a worker that answers again only once the store says so', async () => {
    const { scheduler, keeper } = lead(1);
    const worker = list(scheduler);
    keeper.update(1);
    await settle();
    worker.recordCallFailure(1400, 1000);
    worker.recordCallFailure(2100, 1700);
    keeper.update(2100);
    await settle();
    scheduler.handleReport(worker, noRuns, 2200, 2210, 2210);
    store.fault = 'late';
    keeper.update(2220);
    await settle();
    expect(worker.isSuspended).to.equal(true);
    await new Promise((resolve) => setTimeout(resolve, 150));
    keeper.update(2400);
    await settle();
    expect(worker.isSuspended).to.equal(false);
  });

  it('is given up when another host leads', async () => {
    const { scheduler, keeper } = lead(1);
    list(scheduler);
    lead(2);
    keeper.update(1);
    await settle();
    expect(lost).to.deep.equal(['the store has another leader']);
  });
});
