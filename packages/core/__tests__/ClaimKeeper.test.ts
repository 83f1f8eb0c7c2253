import { expect } from 'chai';
import { ClaimKeeper } from '../src/index.js';
import { ClockModel } from './ClockModel.js';
import { createParts } from './createParts.js';

describe('ClaimKeeper', () => {
  const setUp = () => {
    const parts = createParts(new ClockModel());
    const create = (owner: string): ClaimKeeper => new ClaimKeeper(parts, 's1', owner, owner);
    return { ...parts, create };
  };

  it('takes the claim although the answer of each write is lost', async () => {
    const { store, create } = setUp();
    store.writeFaults = ['lost', 'lost'];
    const claim = (await create('one').acquire())._unsafeUnwrap();
    expect(claim.epoch).to.equal(1);
    const other = await create('two').acquire();
    expect(other._unsafeUnwrapErr().kind).to.equal('notOwner');
  });

  it('takes no claim from a write that did not happen, not even when it arrives late', async () => {
    const { store, create } = setUp();
    store.writeFaults = ['late'];
    expect((await create('one').acquire()).isErr()).to.equal(true);
    store.deliverLate();
    expect((await create('two').acquire())._unsafeUnwrap().epoch).to.equal(1);
  });

  it('raises the epoch above the stored one and above what workers reported', async () => {
    const { create } = setUp();
    const first = create('one');
    expect((await first.acquire(6))._unsafeUnwrap().epoch).to.equal(7);
    await first.release();
    expect((await create('two').acquire(3))._unsafeUnwrap().epoch).to.equal(8);
  });

  it('does not act after a pause until a renewal was answered', async () => {
    const { clock, store, create } = setUp();
    const keeper = create('one');
    await keeper.acquire();
    expect(keeper.standing).to.equal('confirmed');
    clock.advance(3000);
    expect(keeper.standing).to.equal('unsettled');
    let rounds = 0;
    store.isDown = true;
    await keeper.keep(() => (rounds += 1) < 4);
    expect(keeper.standing).to.equal('unreachable');
    store.isDown = false;
    expect(await keeper.keep(() => true)).to.equal('the store lease expired');
    expect(keeper.standing).to.equal('unsettled');
  });
});
