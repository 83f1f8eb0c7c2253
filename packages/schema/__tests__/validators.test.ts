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
  it('read messages of a newer version with fields, events and a protocol that this one lacks', () => {
    // Guards against a rolling upgrade in which each process closes its links to the other version.
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

  it('refuse messages with a missing or a wrong field, or of an unknown kind', () => {
    // Guards against tolerance for anything but additions.
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

  it('refuse unknown fields of what people and callers write', () => {
    // Guards against a mistyped field that is silently ignored.
    expect(validators.RequestSpecification(specification)).to.equal(true);
    const mistyped = { ...specification, size: { ...specification.size, acelerators: 1 } };
    expect(validators.RequestSpecification(mistyped)).to.equal(false);
    expect(validators.RequestSpecification({ ...specification, taskz: 1 })).to.equal(false);
  });
});
