import { createFailure } from '@toucanline/core';
import { expect } from 'chai';
import { err } from 'neverthrow';
import { EventLog, HostMetrics } from '../src/index.js';
import { Election } from '../src/Election.js';
import { hostLimits } from '../src/hostLimits.js';
import type { LeaderLease } from '../src/LeaderLease.js';
import { MemoryStore } from './MemoryStore.js';

/** Store that does not answer the first renewal until it is given up. */
class UnresponsiveStore extends MemoryStore {
  #renewals = 0;

  public override async renewLease(): ReturnType<MemoryStore['renewLease']> {
    this.#renewals += 1;
    if (this.#renewals > 1) return super.renewLease();
    await new Promise((resolve) => setTimeout(resolve, 700));
    return err(createFailure('timeout', 'no answer'));
  }
}

describe('the claim of a leader', () => {
  // Pattern: the store loses a third of its answers (recorded day of cpwgo: three changes of the leader in 4 s). Guards
  // against a claim that is lost because one renewal had no answer.
  it('stays current when one renewal has no answer', async () => {
    let claim: LeaderLease | undefined;
    const log = new EventLog('test', new HostMetrics());
    const election = new Election(new UnresponsiveStore(), 'host-1', '127.0.0.1:1', log, {
      onElected: (won) => {
        claim = won;
      },
      onDeposed: () => undefined,
      onLeaderChange: () => undefined,
    });
    election.start();
    const endsAt = performance.now() + hostLimits.leaderLeaseTtlMs + hostLimits.campaignJitterMs;
    while (performance.now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      if (claim !== undefined) expect(claim.isValid).to.equal(true);
    }
    expect(claim).not.to.equal(undefined);
    await election.stop();
  });
});
