import { validators, type ShardSnapshot } from '@toucanline/schema';
import { expect } from 'chai';
import { periods } from '../src/index.js';
import { ShardHarness } from './ShardHarness.js';

const room = { processors: 4, memoryMb: 100, accelerators: 0 };
const large = { ...room, processors: 3 };

/** Passes a snapshot as a message would: only what the schema knows arrives. */
const transfer = (snapshot: ShardSnapshot): ShardSnapshot => {
  const copy: unknown = JSON.parse(JSON.stringify(snapshot));
  if (!validators.ShardSnapshot(copy))
    throw new Error(JSON.stringify(validators.ShardSnapshot.errors));
  return copy;
};

const succeed = (model: ShardHarness, id: string): void => {
  for (const task of model.running.values()) {
    if (task.assignment.request.id === id) model.reportChange(task, 'succeeded');
  }
};

describe('the snapshot of a shard at its handover', () => {
  it('lets the next owner adopt what runs, start what waits and tell what has ended', () => {
    // Guards against work that starts twice, is forgotten or loses its answer at a handover.
    const former = new ShardHarness([1, 1], room);
    const running = former.submit({ size: large });
    const ended = former.submit({ size: large });
    expect(former.step()).to.have.length(2);
    succeed(former, ended);
    const blocked = former.submit({ size: { ...large, processors: 4 } });
    const waiting = former.submit({ size: { ...large, processors: 4 }, idempotent: false });
    const [started] = former.step(100);
    expect(started?.assignment.request.id).to.equal(blocked);

    const next = new ShardHarness([1, 1], room, transfer(former.shard.createSnapshot()));
    expect(next.shard.epoch).to.equal(2);
    expect(next.readState(running)).to.equal('running');
    expect(next.readState(blocked)).to.equal('running');
    expect(next.readState(ended)).to.equal('succeeded');
    expect(next.readState(waiting)).to.equal('waiting');
    expect(next.step(), 'both workers are full').to.deep.equal([]);
    for (const [taskId, task] of former.running) next.running.set(taskId, task);
    succeed(next, running);
    succeed(next, blocked);
    const starts = [...next.step(), ...next.step(100)];
    expect(starts.map(({ assignment }) => assignment.request.id)).to.deep.equal([waiting]);
    expect(next.readState(running)).to.equal('succeeded');
  });

  it('keeps attempts and the retry budget', () => {
    // Guards against a job that fails for ever because each handover gives it new retries.
    const former = new ShardHarness([1, 1, 1], room);
    const id = former.submit({});
    const [first] = former.step();
    if (first !== undefined) former.reportChange(first, 'failed');
    const next = new ShardHarness([1, 1, 1], room, transfer(former.shard.createSnapshot()));
    const [second] = next.step(periods.maxRetryDelayMs);
    expect(second?.assignment.attempt).to.be.greaterThan(first?.assignment.attempt ?? Infinity);
    // The model permits one retry.
    if (second !== undefined) next.reportChange(second, 'failed');
    expect(next.step(periods.maxRetryDelayMs)).to.deep.equal([]);
    expect(next.readState(id)).to.equal('failed');
  });

  it('has the command of each request that may still run, and of no other', () => {
    // Guards against the memory of large commands for the retention time, and against a start without one.
    const former = new ShardHarness([1], room);
    const ended = former.submit({ size: large, command: 'first' });
    former.submit({ size: large, command: 'second' });
    former.step();
    succeed(former, ended);
    const commands = former.shard.createSnapshot().requests.map(({ request }) => request.command);
    expect(commands).to.deep.equal(['', 'second']);
    expect(former.step(100).map(({ assignment }) => assignment.request.command)).to.deep.equal([
      'second',
    ]);
  });

  it('goes on with a cancellation', () => {
    // Guards against a cancelled request that the next owner lets run.
    const former = new ShardHarness([1], room);
    const id = former.submit({});
    former.step();
    former.shard.cancel(id);
    const next = new ShardHarness([1], room, transfer(former.shard.createSnapshot()));
    next.step();
    expect(next.commands.at(-1)).to.include({ action: 'stop', cancelled: true });
    expect(next.readState(id)).to.equal('stopping');
  });

  it('holds a start back whose outcome the former owner did not know', () => {
    // Guards against a second start of work that the worker may just have accepted.
    const former = new ShardHarness([1, 1], room);
    const ids = [former.submit({ idempotent: false }), former.submit({ idempotent: true })];
    former.shard.dispatch(100);
    const snapshot = transfer(former.shard.createSnapshot());
    expect(snapshot.requests.map(({ uncertain }) => uncertain)).to.deep.equal([true, true]);
    const next = new ShardHarness([1, 1], room, snapshot);
    expect(next.step()).to.deep.equal([]);
    expect(next.shard.isRecovered).to.equal(false);
    // Both workers report that they run nothing, which proves that nothing was started.
    for (const worker of ['w0', 'w1']) next.report(worker, [], true);
    const started = next.step().map(({ assignment }) => assignment.request.id);
    expect(started.sort()).to.deep.equal(ids);
  });
});

describe('the retention of ended requests', () => {
  it('keeps each answer for its time and not longer, in the order of the ends', () => {
    // Guards against answers that vanish early and against memory that grows with all requests.
    const model = new ShardHarness([1], room);
    const ids = [model.submit({}), model.submit({}), model.submit({ idempotent: false })];
    model.step();
    const endLater = periods.retentionMs / 2;
    succeed(model, ids[1] ?? '');
    model.step(0);
    for (let passed = 0; passed < endLater; passed += 5000) model.step(5000);
    succeed(model, ids[0] ?? '');
    const isKnown = (): readonly boolean[] => ids.map((id) => model.shard.hasRequest(id));
    model.step(0);
    for (let passed = endLater; passed < periods.retentionMs; passed += 5000) model.step(5000);
    expect(isKnown()).to.deep.equal([true, true, true]);
    model.step(1);
    expect(isKnown()).to.deep.equal([true, false, true]);
    for (let passed = 0; passed < endLater; passed += 5000) model.step(5000);
    expect(isKnown(), 'the running one stays').to.deep.equal([false, false, true]);
    expect(model.readState(ids[2] ?? '')).to.equal('running');
  });
});
