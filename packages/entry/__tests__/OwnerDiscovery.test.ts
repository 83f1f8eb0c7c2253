import { Clock, Policy } from '@toucanline/core';
import { expect } from 'chai';
import { OwnerDiscovery } from '../src/OwnerDiscovery.js';

/** Clock that a test sets. */
class SettableClock extends Clock {
  public nowMs = 0;

  public override now(): number {
    return this.nowMs;
  }

  public override wallTime(): number {
    return this.nowMs;
  }

  public override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

describe('the wait of a new entry for an owner', () => {
  const policy = new Policy({
    schema: 1,
    shards: { s1: { dataCentre: 'dc1' }, s2: { dataCentre: 'dc2' }, s3: { dataCentre: 'dc2' } },
    queues: { q: { kind: 'batch' } },
    teams: { a: { share: 1 } },
  });
  const create = (
    dataCentre: string,
  ): {
    readonly clock: SettableClock;
    readonly owned: Set<string>;
    readonly wait: OwnerDiscovery;
  } => {
    const clock = new SettableClock();
    const owned = new Set<string>();
    const router = { hasLiveOwner: (shard: string) => owned.has(shard) };
    return { clock, owned, wait: new OwnerDiscovery(clock, router, dataCentre) };
  };

  it('ends with an owner in the own data centre, for good', () => {
    // Guards against an entry that stops to serve because its own data centre lost an owner.
    const { wait, owned } = create('dc2');
    owned.add('s1');
    expect(wait.isComplete(policy)).to.equal(false);
    owned.add('s3');
    expect(wait.isComplete(policy)).to.equal(true);
    owned.clear();
    expect(wait.isComplete(policy)).to.equal(true);
  });

  it('ends after 3 s, and at once where no shard is configured', () => {
    // Guards against an entry that never serves while its own data centre has no owner.
    const { wait, clock } = create('dc2');
    clock.nowMs = 2999;
    expect(wait.isComplete(policy)).to.equal(false);
    clock.nowMs = 3000;
    expect(wait.isComplete(policy)).to.equal(true);
    expect(create('dc3').wait.isComplete(policy)).to.equal(true);
  });
});
