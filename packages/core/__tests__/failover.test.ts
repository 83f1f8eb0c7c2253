import type { Report, Request, TaskReport } from '@toucanline/schema';
import { expect } from 'chai';
import { EventRecorder, EventStream, Invariant, Policy, Shard } from '../src/index.js';
import { CountingRandom } from './CountingRandom.js';
import { ManualClock } from './ManualClock.js';

const size = { processors: 1, memoryMb: 1, accelerators: 0 };
const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const request: Request = {
  id: 's1.q',
  digest: 'd',
  team: 'a',
  queue: 'batch',
  kind: 'batch',
  idempotent: true,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size,
  command: '',
  runTimeMs: 1000,
};

const describeTask = (attempt: number, change: Partial<TaskReport>): TaskReport => ({
  assignment: { taskId: `s1.q/0/1.${attempt}`, index: 0, attempt, request },
  state: 'running',
  usage: size,
  ...change,
});

/** A shard under a new owner, with two workers that have not reported yet. */
const createOwner = (): {
  readonly shard: Shard;
  readonly report: (worker: string, tasks: readonly TaskReport[]) => void;
  readonly countStarts: () => number;
} => {
  const clock = new ManualClock();
  const recorder = new EventRecorder(clock, new EventStream(), 'p', 'dc1');
  const policy = new Policy({
    schema: 1,
    shards: { s1: { dataCentre: 'dc1' } },
    queues: { batch: { kind: 'batch', idempotent: true } },
    teams: { a: { share: 1 } },
  });
  const invariant = new Invariant(recorder, true);
  const context = { shard: 's1', dataCentre: 'dc1', epoch: 2, owner: 'p', provisional: false };
  const random = new CountingRandom();
  const shard = new Shard({ ...context, clock, random, recorder, invariant }, 'p', policy);
  shard.loadJournal([]);
  shard.applyHosts(
    ['w0', 'w1'].map((id) => ({
      id,
      role: 'worker',
      state: 'live',
      dataCentre: 'dc1',
      address: id,
    })),
  );
  const report = (worker: string, tasks: readonly TaskReport[]): void => {
    const content: Report = {
      worker,
      bootId: 'boot',
      clockMs: 100_000,
      sequence: 1,
      state: 'live',
      dataCentre: 'dc1',
      rack: 'r',
      room,
      speed: 1,
      epoch: 2,
      owner: 'p',
      leaseUntil: 110_000,
      full: true,
      tasks: [...tasks],
      changes: [],
    };
    // The second report comes under a lease, because the clock of the worker is known by then.
    for (let contact = 0; contact < 2; contact += 1) {
      shard.createRenewal(worker);
      shard.applyReport(worker, content, clock.now());
    }
  };
  const countStarts = (): number => {
    clock.advance(500);
    shard.tick();
    shard.dispatch(10);
    return shard.takeEffects().filter(({ effect }) => effect === 'start').length;
  };
  return { shard, report, countStarts };
};

describe('a new owner that adopts reported tasks', () => {
  // Guards against a task in two places: the other worker may run a later attempt.
  it('retries an ended attempt only after all workers reported', () => {
    const { shard, report, countStarts } = createOwner();
    report('w0', [describeTask(1, { state: 'failed' })]);
    expect(countStarts()).to.equal(0);
    report('w1', [describeTask(2, {})]);
    expect(countStarts()).to.equal(0);
    expect(shard.read(request.id)._unsafeUnwrap().state).to.equal('running');
  });

  it('retries an ended attempt once no worker runs a later one', () => {
    const { report, countStarts } = createOwner();
    report('w0', [describeTask(1, { state: 'failed' })]);
    report('w1', []);
    expect(countStarts()).to.equal(1);
  });

  // Guards against work of a cancelled request that starts again after a failover.
  it('ends a request that was cancelled under the former owner', () => {
    const { shard, report, countStarts } = createOwner();
    report('w0', [describeTask(1, { state: 'stopped', cancelled: true })]);
    report('w1', []);
    expect(countStarts()).to.equal(0);
    expect(shard.read(request.id)._unsafeUnwrap().state).to.equal('cancelled');
  });
});
