import { expect } from 'chai';
import { ConfigurationHolder, KeyListAge, KeyRing, RevisionSync } from '../src/index.js';
import { DriftingClock } from './DriftingClock.js';
import { StoreStub } from './StoreStub.js';
import { TimerClock } from './TimerClock.js';
import { createDependencies } from './createDependencies.js';

describe('revisions in a process', () => {
  const { recorder } = createDependencies(new DriftingClock(1));

  // Guards against a late answer of the store or of a peer that restores a withdrawn key.
  it('never replaces the keys by a lower revision', () => {
    const ring = new KeyRing(recorder);
    const hash = 'a'.repeat(64);
    const key = { id: 'k', hash, team: 'a', roles: ['submit' as const], grantedAtMs: 0 };
    ring.apply({ revision: 2, token: 't2', keys: [{ ...key, withdrawnAtMs: 1 }] });
    expect(ring.apply({ revision: 1, token: 't1', keys: [key] })).to.equal(false);
    expect(ring.revision).to.equal(2);
    expect(ring.authenticate(hash)._unsafeUnwrapErr().kind).to.equal('withdrawnKey');
  });

  // Guards against a configuration that reverts after a network partition.
  it('never replaces the configuration by a lower revision', () => {
    const holder = new ConfigurationHolder(recorder);
    const document = (share: number): string =>
      `schema = 1\n[shards.s1]\ndataCentre = "dc1"\n[teams.a]\nshare = ${share}\n[queues.q]\nkind = "batch"\n`;
    const create = (revision: number) => ({
      revision,
      digest: '',
      author: 'a',
      atMs: 0,
      token: `t${revision}`,
      text: document(revision),
    });
    expect(holder.apply(create(2))._unsafeUnwrap()).to.equal(true);
    expect(holder.apply(create(1))._unsafeUnwrap()).to.equal(false);
    expect([holder.revision, holder.policy?.weights.get('a')]).to.deep.equal([2, 2]);
  });

  // Guards against processes that all end because of one stored value, and against a withdrawn key that stays in use
  // because an unreadable key list counts as confirmed.
  it('keeps what it knows of an unreadable record, does not confirm it, and goes on', async () => {
    const clock = new TimerClock();
    const store = new StoreStub();
    const keyRing = new KeyRing(recorder);
    const keyListAge = new KeyListAge(clock);
    const configurationHolder = new ConfigurationHolder(recorder);
    const dependencies = { store, clock, configurationHolder, keyRing, keyListAge };
    const sync = new RevisionSync(
      { ...dependencies, isWatcher: () => false, onChange: () => undefined },
      'site',
    );
    await store.write('configuration/site', '{', 0);
    await store.write('keys/site', '['.repeat(100_000), 0);
    sync.start();
    await clock.advance(50);
    expect([keyRing.revision, keyListAge.ageMs]).to.deep.equal([0, Infinity]);
    await store.write('keys/site', JSON.stringify({ revision: 3, token: 't', keys: [] }), 1);
    await clock.advance(3000);
    sync.stop();
    expect(keyRing.revision).to.equal(3);
    expect(keyListAge.ageMs).to.be.below(3000);
  });
});
