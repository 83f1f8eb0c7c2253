import { Clock, Policy } from '@toucanline/core';
import { expect } from 'chai';
import { OwnerDiscovery } from '../src/OwnerDiscovery.js';

/** Clock whose time a test sets. */
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

describe('the discovery of owners by a new entry', () => {
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
    readonly discovery: OwnerDiscovery;
  } => {
    const clock = new SettableClock();
    const owned = new Set<string>();
    const router = { hasLiveOwner: (shard: string) => owned.has(shard) };
    return { clock, owned, discovery: new OwnerDiscovery(clock, router, dataCentre) };
  };

  it('is complete with an owner in the own data centre, and stays complete', () => {
    // Guards against an entry that stops serving because its own data centre lost an owner.
    const { discovery, owned } = create('dc2');
    owned.add('s1');
    expect(discovery.isComplete(policy)).to.equal(false);
    owned.add('s3');
    expect(discovery.isComplete(policy)).to.equal(true);
    owned.clear();
    expect(discovery.isComplete(policy)).to.equal(true);
  });

  it('is complete after 3 s, and immediately in a data centre without shards', () => {
    // Guards against an entry that never serves while its own data centre has no owner.
    const { discovery, clock } = create('dc2');
    clock.nowMs = 2999;
    expect(discovery.isComplete(policy)).to.equal(false);
    clock.nowMs = 3000;
    expect(discovery.isComplete(policy)).to.equal(true);
    expect(create('dc3').discovery.isComplete(policy)).to.equal(true);
  });
});
