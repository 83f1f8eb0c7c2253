import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import { MonitoredStore } from '../src/MonitoredStore.js';
import { StoreHealth } from '../src/StoreHealth.js';
import { MemoryStore } from './MemoryStore.js';

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('whether the store answers', () => {
  let contact: StoreHealth;

  beforeEach(() => {
    contact = new StoreHealth(new EventLog('test', new HostMetrics()));
  });

  // Guards against jobs that are refused right after an outage: a call that was sent while the store was away fails later
  // than newer calls are answered (one run of CI beside load).
  it('is not doubted because an older call failed later', async () => {
    const sentAt = performance.now();
    await pause(5);
    contact.recordOutcome(true, performance.now());
    contact.recordOutcome(false, sentAt);
    expect(contact.isReachable).to.equal(true);
  });

  it('is doubted as soon as a call failed that was sent after the last answer', async () => {
    contact.recordOutcome(true, performance.now());
    await pause(5);
    contact.recordOutcome(false, performance.now());
    expect(contact.isReachable).to.equal(false);
  });

  // Guards against a belief that only some calls feed: a host refused jobs although it had just read from the store.
  it('is learned from every call', async () => {
    const store = new MemoryStore();
    const observed = new MonitoredStore(store, contact);
    const calls = [
      () => observed.read('a'),
      () => observed.list('a'),
      () => observed.watch('a', 1, 1),
      () => observed.commit({ expected: [], put: [] }),
      () => observed.grantLease(1000),
      () => observed.renewLease(1),
      () => observed.revokeLease(1),
      () => observed.ping(100),
    ];
    for (const call of calls) {
      await pause(2);
      contact.recordOutcome(false, performance.now());
      expect(contact.isReachable).to.equal(false);
      await call();
      expect(contact.isReachable).to.equal(true);
    }
    store.fault = 'refused';
    await pause(2);
    await observed.commit({ expected: [], put: [] });
    expect(contact.isReachable).to.equal(false);
  });
});
