import { expect } from 'chai';
import { ClaimManager } from '../src/index.js';
import { DriftingClock } from './DriftingClock.js';
import { createDependencies } from './createDependencies.js';

describe('ClaimManager', () => {
  const setUp = () => {
    const dependencies = createDependencies(new DriftingClock());
    const create = (owner: string): ClaimManager =>
      new ClaimManager(dependencies, 's1', owner, owner);
    return { ...dependencies, create };
  };

  it('acquires the claim although the answers of its writes are lost', async () => {
    const { store, create } = setUp();
    store.writeFaults = ['lost', 'lost'];
    const claim = (await create('one').acquire())._unsafeUnwrap();
    expect(claim.epoch).to.equal(1);
    const other = await create('two').acquire();
    expect(other._unsafeUnwrapErr().kind).to.equal('notOwner');
  });

  it('does not acquire the claim with a write that timed out, even if the write arrives late', async () => {
    const { store, create } = setUp();
    store.writeFaults = ['late'];
    expect((await create('one').acquire()).isErr()).to.equal(true);
    store.applyLateWrites();
    expect((await create('two').acquire())._unsafeUnwrap().epoch).to.equal(1);
  });

  it('raises the epoch above the stored one and above what workers reported', async () => {
    const { create } = setUp();
    const first = create('one');
    expect((await first.acquire(6))._unsafeUnwrap().epoch).to.equal(7);
    await first.release();
    expect((await create('two').acquire(3))._unsafeUnwrap().epoch).to.equal(8);
  });

  it('does not count the claim as confirmed or unreachable after a pause until a renewal was attempted', async () => {
    const { clock, store, create } = setUp();
    const manager = create('one');
    await manager.acquire();
    expect(manager.state).to.equal('confirmed');
    clock.advance(3000);
    expect(manager.state).to.equal('unsettled');
    let rounds = 0;
    store.isDown = true;
    await manager.renewWhile(() => (rounds += 1) < 4);
    expect(manager.state).to.equal('unreachable');
    store.isDown = false;
    expect(await manager.renewWhile(() => true)).to.equal('the store lease expired');
    expect(manager.state).to.equal('unsettled');
  });

  it('leaves a reserved claim without a holder to its previous holder', async () => {
    // Guards against a peer that acquires a shard whose owner only lost contact with the store for a while.
    const { clock, create } = setUp();
    await create('one').acquire();
    clock.advance(3000);
    const peer = create('two');
    expect((await peer.acquire(0, () => true))._unsafeUnwrapErr().kind).to.equal('notOwner');
    expect(peer.observedHolder).to.equal(undefined);
    expect((await create('one').acquire())._unsafeUnwrap().epoch).to.equal(2);
    await peer.acquire(0, () => true);
    expect(peer.observedHolder).to.equal('one');
  });

  it('records the time before the last call that proved a claim of an owner as the last contact', async () => {
    // Guards against an owner that continues longer than other data centres expect after it was cut off.
    const { clock, store, create } = setUp();
    const owner = create('one');
    const candidate = create('two');
    expect(candidate.lastContactAt).to.equal(-Infinity);
    const claimedAt = clock.now();
    await owner.acquire();
    expect(owner.lastContactAt).to.equal(claimedAt);
    clock.advance(500);
    await candidate.acquire();
    expect(candidate.lastContactAt).to.equal(claimedAt + 500);
    store.isDown = true;
    clock.advance(500);
    await candidate.acquire();
    let rounds = 0;
    await owner.renewWhile(() => (rounds += 1) < 4);
    expect([owner.lastContactAt, candidate.lastContactAt]).to.deep.equal([
      claimedAt,
      claimedAt + 500,
    ]);
    store.isDown = false;
    clock.advance(10_000);
    await create(`${ClaimManager.takeoverPrefix}three`).acquire();
    await candidate.acquire();
    expect(candidate.lastContactAt).to.equal(claimedAt + 500);
  });
});
