import { Scheduler } from '@toucanline/jobs';
import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import { JobCleanup } from '../src/JobCleanup.js';
import { hostLimits } from '../src/hostLimits.js';
import type { LeaderDependencies } from '../src/LeaderDependencies.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { refusalMarker } from '../src/refusalMarker.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

describe('job cleanup', () => {
  const { setInterval: originalSetInterval } = globalThis;
  const originalNow = performance.now.bind(performance);

  afterEach(() => {
    globalThis.setInterval = originalSetInterval;
    performance.now = originalNow;
  });

  // Guards against refusal markers that are forgotten, and stay in the store for good, because one transaction could
  // not take them all.
  it('removes all expired markers, however many there are', async () => {
    let runCleanup: (() => void) | undefined;
    globalThis.setInterval = ((callback: () => void) => {
      runCleanup = callback;
    }) as unknown as typeof setInterval;
    const store = new MemoryStore();
    const revision = store.put(storeKeys.holder, 'leader');
    const leaderLease = new LeaderLease(1, revision, 1);
    const retentionMs = 180_000;
    const dependencies = {
      store,
      log: new EventLog('test', new HostMetrics()),
      times: { retentionMs },
    };
    const cleanup = new JobCleanup(
      dependencies as unknown as LeaderDependencies,
      leaderLease,
      new Scheduler(1, revision, 0, { maxStopMs: 200, maxLeaseMs: 6000 }),
    );
    const count = 2 * hostLimits.maxRemovalsPerWrite + 5;
    const keys = Array.from({ length: count }, (_, index) => `${storeKeys.jobPrefix}${index}`);
    for (const key of keys) {
      store.put(key, refusalMarker);
      cleanup.addMarker(key);
    }
    cleanup.start();
    const later = originalNow() + retentionMs + 1000;
    performance.now = () => later;
    leaderLease.recordRenewal(later, Date.now());
    runCleanup?.();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(keys.filter((key) => store.get(key) !== undefined)).to.deep.equal([]);
  });
});
