import { expect } from 'chai';
import type { Request } from '@toucanline/schema';
import { createResubmissions } from '../src/createResubmissions.js';
import { RequestRecord } from '../src/RequestRecord.js';
import { ManualClock } from './ManualClock.js';

const request: Request = {
  id: 's1.q',
  digest: 'd',
  team: 'a',
  queue: 'rosters',
  kind: 'batch',
  idempotent: false,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size: { processors: 1, memoryMb: 1, accelerators: 0 },
  command: '',
  runTimeMs: 1000,
};

describe('createResubmissions', () => {
  const clock = new ManualClock();
  const create = (change: Partial<Request> = {}): RequestRecord =>
    new RequestRecord({ ...request, ...change }, clock.now() - 100, clock.now() + 5000);
  const count = (record: RequestRecord): number =>
    createResubmissions({ shard: 's1', epoch: 3, clock }, [record]).length;

  it('includes the epoch of the owner and the time since which a start was possible', () => {
    const [call] = createResubmissions({ shard: 's1', epoch: 3, clock }, [create()]);
    expect(call).to.include({ heldEpoch: 3, heldMs: 100, remainingMs: 5000, detached: 'no' });
  });

  it('leaves out started requests unless they are idempotent', () => {
    // Guards against a second start of a non-idempotent request whose worker no longer reports the first one.
    const started = create();
    started.restoreCounters(1, 0);
    const startedIdempotent = create({ idempotent: true });
    startedIdempotent.restoreCounters(1, 0);
    expect([count(started), count(startedIdempotent)]).to.deep.equal([0, 1]);
  });

  it('includes cancelled requests, so that they can be cancelled again, but no other finished ones', () => {
    // Guards against a cancelled service that continues because its entry submits it again.
    const cancelled = create();
    cancelled.finish('cancelled', clock.now());
    const failed = create();
    failed.finish('failed', clock.now());
    expect([count(cancelled), count(failed)]).to.deep.equal([1, 0]);
  });

  it('leaves out requests that are in the journal', () => {
    const journaled = create();
    journaled.confirmAcceptance();
    expect(count(journaled)).to.equal(0);
  });
});
