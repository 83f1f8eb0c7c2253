import { LearnedDurations, Scheduler } from '@toucanline/jobs';
import { createFailure } from '@toucanline/core';
import { expect } from 'chai';
import { err } from 'neverthrow';
import { DurationStore } from '../src/DurationStore.js';
import { EventLog } from '../src/EventLog.js';
import { HostMetrics } from '../src/HostMetrics.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

const record = JSON.stringify({
  kinds: [{ key: '["task","batch"]', bins: [{ bin: 4, ended: 40 }] }],
});

/** Store whose reads fail while the test says so. */
class FailingStore extends MemoryStore {
  public failsReads = false;

  public override read(key: string): ReturnType<MemoryStore['read']> {
    return this.failsReads
      ? Promise.resolve(err(createFailure('timeout', 'no answer')))
      : super.read(key);
  }
}

describe('duration store', () => {
  let store: FailingStore;
  let scheduler: Scheduler;
  let durations: DurationStore;

  const createLeader = (): void => {
    const lease = new LeaderLease(1, store.put(storeKeys.holder, 'leader'), 1);
    const bounds = { maxStopMs: 200, maxLeaseMs: 6000 };
    scheduler = new Scheduler(1, 1, 0, bounds, new LearnedDurations());
    const log = new EventLog('test', new HostMetrics());
    durations = new DurationStore(store, scheduler, lease, log);
  };

  beforeEach(() => {
    store = new FailingStore();
    createLeader();
  });

  afterEach(() => {
    durations.stop();
  });

  it('gives the next leader what the previous one wrote at the handover', async () => {
    await durations.start();
    scheduler.durations.restore(JSON.parse(record) as never, 0);
    await durations.flush();
    expect(store.get(storeKeys.durations)).to.equal(record);
    createLeader();
    await durations.start();
    expect(JSON.stringify(scheduler.durations.describe(1e6))).to.equal(record);
  });

  // Guards against a write for each run or each interval: each call of the store has a cost.
  it('writes nothing while nothing has changed', async () => {
    store.put(storeKeys.durations, record);
    await durations.start();
    await durations.flush();
    expect(store.commits).to.equal(0);
  });

  // Guards against a record that keeps a new leader from scheduling, or that is never replaced.
  it('learns anew if the record cannot be decoded', async () => {
    store.put(storeKeys.durations, '{"kinds":[{"bins":"x"}]}');
    await durations.start();
    expect(scheduler.durations.describe(1e6)?.kinds).to.deep.equal([]);
    scheduler.durations.restore(JSON.parse(record) as never, 0);
    await durations.flush();
    expect(store.get(storeKeys.durations)).to.equal(record);
  });

  // Guards against a leader that replaces what it could not read, and against one that writes after its successor.
  it('replaces neither a record that it could not read nor that of a successor', async () => {
    store.put(storeKeys.durations, record);
    store.failsReads = true;
    void durations.start();
    await durations.flush();
    expect(store.commits).to.equal(0);
    store.failsReads = false;
    createLeader();
    await durations.start();
    store.put(storeKeys.holder, 'successor');
    scheduler.durations.restore({ kinds: [{ key: 'k', bins: [{ bin: 1, ended: 9 }] }] }, 0);
    await durations.flush();
    expect(store.get(storeKeys.durations)).to.equal(record);
  });
});
