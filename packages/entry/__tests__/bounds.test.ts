import { KeyListAge, EventRecorder, EventStream, KeyRing } from '@toucanline/core';
import { hashText, SystemClock } from '@toucanline/runtime';
import { expect } from 'chai';
import { Authenticator } from '../src/Authenticator.js';
import { OpenRequestLimiter } from '../src/OpenRequestLimiter.js';

describe('the limits of open requests at an entry', () => {
  // Guards against an entry whose memory grows without bound with its open requests, and against one team that
  // uses up the total limit, so that another team is refused.
  it('refuses a team above its limit as overloaded with a retry delay, and all teams above the total limit', () => {
    const limiter = new OpenRequestLimiter({ total: 3, perTeam: 2 });
    const admit = (team: string): string =>
      limiter.admit(team).match(
        () => 'admitted',
        ({ kind, retryAfterSeconds }) => `${kind} ${retryAfterSeconds ?? 'without a delay'}`,
      );
    expect(['a', 'a', 'a', 'b', 'b'].map(admit)).to.deep.equal([
      'admitted',
      'admitted',
      'overloaded 2',
      'admitted',
      'overloaded 2',
    ]);
    limiter.release('a');
    expect(['b', 'a'].map(admit)).to.deep.equal(['admitted', 'overloaded 2']);
  });
});

describe('the authentication at a new entry', () => {
  const clock = new SystemClock();
  const recorder = new EventRecorder(clock, new EventStream(), 'e', 'dc1');
  const request = { headers: { authorization: 'Bearer key-a' } };
  const key = { id: 'k', hash: hashText('key-a'), team: 'a', grantedAtMs: 0 };

  // Guards against a caller that treats 401 as final and discards its valid key.
  it('is not ready before the keys are loaded, and accepts a key afterwards', () => {
    const keyRing = new KeyRing(recorder);
    const keyListAge = new KeyListAge(clock);
    const authenticator = new Authenticator(keyRing, keyListAge, undefined);
    const authenticate = (): string =>
      authenticator.authenticate(request).match(
        (found) => found?.id ?? 'no key',
        ({ kind }) => kind,
      );
    expect([authenticate(), authenticator.isReady]).to.deep.equal(['notReady', false]);
    keyListAge.confirm(0);
    expect([authenticate(), authenticator.isReady]).to.deep.equal(['unauthenticated', true]);
    keyRing.apply({ revision: 1, token: 't', keys: [{ ...key, roles: ['submit'] }] });
    expect([authenticate(), authenticator.isReady]).to.deep.equal(['k', true]);
  });
});
