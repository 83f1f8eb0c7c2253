import { createFailure } from '@toucanline/core';
import { expect } from 'chai';
import { err } from 'neverthrow';
import { EventLog, HostMetrics } from '../src/index.js';
import { Election } from '../src/Election.js';
import { hostLimits } from '../src/hostLimits.js';
import type { LeaderLease } from '../src/LeaderLease.js';
import { MemoryStore } from './MemoryStore.js';

/** Store whose first renewal has no answer: it times out after 700 ms. */
class UnresponsiveStore extends MemoryStore {
  #renewals = 0;

  public override async renewLease(): ReturnType<MemoryStore['renewLease']> {
    this.#renewals += 1;
    if (this.#renewals > 1) return super.renewLease();
    await new Promise((resolve) => setTimeout(resolve, 700));
    return err(createFailure('timeout', 'no answer'));
  }
}

/** Store that begins to stop a host during one call of its campaign. */
class StoppingStore extends MemoryStore {
  public stopDuring: 'grant' | 'commit' = 'grant';
  public stop: () => void = () => undefined;
  public grants = 0;
  public revoked = 0;

  public override async grantLease(): ReturnType<MemoryStore['grantLease']> {
    this.grants += 1;
    if (this.stopDuring === 'grant') await this.#pause();
    return super.grantLease();
  }

  public override async commit(
    transaction: Parameters<MemoryStore['commit']>[0],
  ): ReturnType<MemoryStore['commit']> {
    if (this.stopDuring === 'commit' && this.grants > 0) await this.#pause();
    return super.commit(transaction);
  }

  public override revokeLease(): ReturnType<MemoryStore['revokeLease']> {
    this.revoked += 1;
    return super.revokeLease();
  }

  async #pause(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, 5));
    this.stop();
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

describe('a campaign', () => {
  for (const stopDuring of ['grant', 'commit'] as const) {
    // Guards against a host that becomes the leader while it shuts down.
    it(`ends if its host stops during the ${stopDuring} call`, async () => {
      const store = new StoppingStore();
      store.stopDuring = stopDuring;
      let elections = 0;
      const log = new EventLog('test', new HostMetrics());
      const election = new Election(store, 'host-1', '127.0.0.1:1', 1, log, {
        onElected: () => {
          elections += 1;
        },
        onDeposed: () => undefined,
        onLeaderChange: () => undefined,
      });
      await new Promise<void>((resolve) => {
        store.stop = () => {
          store.stop = () => undefined;
          void election.stop().then(resolve);
        };
        election.start();
      });
      expect([elections, store.grants, store.revoked]).to.deep.equal([0, 1, 1]);
    });
  }
});

describe('leader lease', () => {
  // Guards against a leader lease that is lost because one renewal had no answer. The store can lose a third of its
  // answers; on a recorded day of site cpwgo the leader then changed three times in 4 s.
  it('stays valid when one renewal has no answer', async () => {
    let lease: LeaderLease | undefined;
    const log = new EventLog('test', new HostMetrics());
    const election = new Election(new UnresponsiveStore(), 'host-1', '127.0.0.1:1', 1, log, {
      onElected: (acquired) => {
        lease = acquired;
      },
      onDeposed: () => undefined,
      onLeaderChange: () => undefined,
    });
    election.start();
    const endsAt = performance.now() + hostLimits.leaderLeaseTtlMs + hostLimits.campaignJitterMs;
    while (performance.now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      if (lease !== undefined) expect(lease.isValid).to.equal(true);
    }
    expect(lease).not.to.equal(undefined);
    await election.stop();
  });
});
