import { expect } from 'chai';
import { validators } from '../src/index.js';

const hello = {
  type: 'hello',
  protocol: 1,
  environment: 'test',
  process: 's1',
  role: 'scheduler',
  dataCentre: 'dc1',
};
const event = {
  stamp: { wallMs: 1, counter: 0 },
  process: 's1',
  dataCentre: 'dc1',
  name: 'claimTaken',
};
const specification = {
  size: { processors: 1, memoryMb: 1, accelerators: 0 },
  command: 'echo x',
};

describe('the validators', () => {
  it('accept messages of a newer version with unknown fields, events and a higher protocol', () => {
    // During a rolling upgrade, processes of one version would otherwise close their links to those of the other.
    const notice = { notice: 'load', shards: [], added: { by: ['a newer version'] } };
    const frames = [
      { ...hello, protocol: 7, added: true },
      { type: 'notice', body: notice, added: 1 },
      { type: 'reply', id: 1, body: { reply: 'events', events: [{ ...event, name: 'added' }] } },
    ];
    for (const frame of frames)
      expect(validators.Frame(frame), JSON.stringify(frame)).to.equal(true);
    const claim = { shard: 's1', epoch: 1, owner: 's1', address: 'a', token: 't', added: 1 };
    expect(validators.Claim(claim)).to.equal(true);
  });

  it('reject messages with a missing or invalid field or of an unknown kind', () => {
    // Tolerance covers additions only; any other difference must be rejected.
    const { process: _process, ...incomplete } = hello;
    const frames = [
      incomplete,
      { ...hello, role: 'other' },
      { ...hello, protocol: 0 },
      { type: 'notice', body: { notice: 'other', shards: [] } },
      { type: 'other' },
    ];
    for (const frame of frames)
      expect(validators.Frame(frame), JSON.stringify(frame)).to.equal(false);
  });

  it('reject unknown fields in input that is written by users and callers', () => {
    // A misspelled field would otherwise be ignored silently.
    expect(validators.RequestSpecification(specification)).to.equal(true);
    const mistyped = { ...specification, size: { ...specification.size, acelerators: 1 } };
    expect(validators.RequestSpecification(mistyped)).to.equal(false);
    expect(validators.RequestSpecification({ ...specification, taskz: 1 })).to.equal(false);
  });
});
