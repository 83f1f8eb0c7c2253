import { KeyListAge, EventRecorder, EventStream, KeyRing } from '@toucanline/core';
import { hashText, SystemClock } from '@toucanline/runtime';
import { expect } from 'chai';
import { Authenticator } from '../src/Authenticator.js';
import { OpenRequestLimiter } from '../src/OpenRequestLimiter.js';

describe('the bounds of an entry', () => {
  // Guards against an entry whose memory grows with the requests that it keeps, and against one team that
  // takes the whole bound, so that another team is refused.
  it('refuses a team above its bound as not run with a delay, and all teams above the total', () => {
    const open = new OpenRequestLimiter({ total: 3, perTeam: 2 });
    const take = (team: string): string =>
      open.admit(team).match(
        () => 'taken',
        ({ kind, retryAfterSeconds }) => `${kind} ${retryAfterSeconds ?? 'without a delay'}`,
      );
    expect(['a', 'a', 'a', 'b', 'b'].map(take)).to.deep.equal([
      'taken',
      'taken',
      'overloaded 2',
      'taken',
      'overloaded 2',
    ]);
    open.release('a');
    expect(['b', 'a'].map(take)).to.deep.equal(['taken', 'overloaded 2']);
  });
});

describe('the authentication at an entry that has just started', () => {
  const clock = new SystemClock();
  const recorder = new EventRecorder(clock, new EventStream(), 'e', 'dc1');
  const request = { headers: { authorization: 'Bearer key-a' } };
  const key = { id: 'k', hash: hashText('key-a'), team: 'a', grantedAtMs: 0 };

  // Guards against a caller that takes 401 for final and throws its valid key away.
  it('is not ready before the keys are known, and knows a key afterwards', () => {
    const keyRing = new KeyRing(recorder);
    const contact = new KeyListAge(clock);
    const authenticator = new Authenticator(keyRing, contact, undefined);
    const read = (): string =>
      authenticator.authenticate(request).match(
        (found) => found?.id ?? 'no key',
        ({ kind }) => kind,
      );
    expect([read(), authenticator.isReady]).to.deep.equal(['notReady', false]);
    contact.confirm(0);
    expect([read(), authenticator.isReady]).to.deep.equal(['unauthenticated', true]);
    keyRing.apply({ revision: 1, token: 't', keys: [{ ...key, roles: ['submit'] }] });
    expect([read(), authenticator.isReady]).to.deep.equal(['k', true]);
  });
});
