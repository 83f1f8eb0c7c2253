import type { Report, ShardSnapshot } from '@toucanline/schema';
import { SystemClock } from '@toucanline/runtime';
import { expect } from 'chai';
import { splitSnapshot } from '../src/splitSnapshot.js';
import { SnapshotAssembler } from '../src/SnapshotAssembler.js';

const createReport = (worker: string): Report => ({
  worker,
  bootId: 'boot',
  clockMs: 1,
  sequence: 1,
  state: 'live',
  dataCentre: 'dc1',
  rack: 'r'.repeat(400_000),
  room: { processors: 1, memoryMb: 1, accelerators: 0 },
  speed: 1,
  epoch: 1,
  owner: 's0',
  leaseUntil: 1,
  full: true,
  tasks: [],
  changes: [],
});

describe('the parts of a snapshot', () => {
  it('carry the complete state to the next owner, and the quarantined workers once', () => {
    // Guards against state that none of the parts contains.
    const snapshot: ShardSnapshot = {
      shard: 's1',
      epoch: 1,
      owner: 's0',
      drained: ['w2'],
      allotments: {},
      requests: [],
      reports: ['w0', 'w1', 'w2', 'w3'].map(createReport),
      quarantined: [{ worker: 'w0', probes: 2, probeAtMs: 5 }],
    };
    const calls = splitSnapshot(snapshot, true);
    expect(calls.length).to.be.above(1);
    const assembler = new SnapshotAssembler(new SystemClock());
    expect(calls.map((call) => assembler.addPart(call)).lastIndexOf(false)).to.equal(
      calls.length - 2,
    );
    expect(assembler.take(2)?.snapshot).to.deep.equal(snapshot);
  });
});
