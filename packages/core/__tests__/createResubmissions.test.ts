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

describe('what a former owner hands in to the next one', () => {
  const clock = new ManualClock();
  const create = (change: Partial<Request> = {}): RequestRecord =>
    new RequestRecord({ ...request, ...change }, clock.now() - 100, clock.now() + 5000);
  const count = (record: RequestRecord): number =>
    createResubmissions({ shard: 's1', epoch: 3, clock }, [record]).length;

  it('names its epoch and the time since which a start is possible', () => {
    const [call] = createResubmissions({ shard: 's1', epoch: 3, clock }, [create()]);
    expect(call).to.include({ heldEpoch: 3, heldMs: 100, remainingMs: 5000, detached: 'no' });
  });

  it('leaves out what it started and what must not start twice', () => {
    // Guards against a second start of a non-idempotent request whose worker has forgotten the first one.
    const started = create();
    started.restoreCounters(1, 0);
    const repeatable = create({ idempotent: true });
    repeatable.restoreCounters(1, 0);
    expect([count(started), count(repeatable)]).to.deep.equal([0, 1]);
  });

  it('has what was cancelled, so that it can be cancelled again, but nothing else that ended', () => {
    // Guards against a cancelled service that its entry hands in again and that then goes on.
    const cancelled = create();
    cancelled.finish('cancelled', clock.now());
    const ended = create();
    ended.finish('failed', clock.now());
    expect([count(cancelled), count(ended)]).to.deep.equal([1, 0]);
  });

  it('leaves out what the journal has', () => {
    const kept = create();
    kept.confirmAcceptance();
    expect(count(kept)).to.equal(0);
  });
});
