import { validators, type ShardSnapshot } from '@toucanline/schema';
import { expect } from 'chai';
import { periods } from '../src/index.js';
import { ShardHarness } from './ShardHarness.js';

const room = { processors: 4, memoryMb: 100, accelerators: 0 };
const large = { ...room, processors: 3 };

/** Serialises and validates a snapshot like a message, so that only fields of the schema are left. */
const transfer = (snapshot: ShardSnapshot): ShardSnapshot => {
  const copy: unknown = JSON.parse(JSON.stringify(snapshot));
  if (!validators.ShardSnapshot(copy))
    throw new Error(JSON.stringify(validators.ShardSnapshot.errors));
  return copy;
};

const succeed = (harness: ShardHarness, id: string): void => {
  for (const task of harness.running.values()) {
    if (task.assignment.request.id === id) harness.reportChange(task, 'succeeded');
  }
};

describe('the snapshot of a shard at its handover', () => {
  it('lets the next owner adopt running, start waiting and answer finished requests', () => {
    // Guards against requests that start twice, are lost or lose their answer in a handover.
    const previous = new ShardHarness([1, 1], room);
    const running = previous.submit({ size: large });
    const finished = previous.submit({ size: large });
    expect(previous.step()).to.have.length(2);
    succeed(previous, finished);
    const blocked = previous.submit({ size: { ...large, processors: 4 } });
    const waiting = previous.submit({ size: { ...large, processors: 4 }, idempotent: false });
    const [started] = previous.step(100);
    expect(started?.assignment.request.id).to.equal(blocked);

    const next = new ShardHarness([1, 1], room, transfer(previous.shard.createSnapshot()));
    expect(next.shard.epoch).to.equal(2);
    expect(next.readState(running)).to.equal('running');
    expect(next.readState(blocked)).to.equal('running');
    expect(next.readState(finished)).to.equal('succeeded');
    expect(next.readState(waiting)).to.equal('waiting');
    expect(next.step(), 'both workers are full').to.deep.equal([]);
    for (const [taskId, task] of previous.running) next.running.set(taskId, task);
    succeed(next, running);
    succeed(next, blocked);
    const starts = [...next.step(), ...next.step(100)];
    expect(starts.map(({ assignment }) => assignment.request.id)).to.deep.equal([waiting]);
    expect(next.readState(running)).to.equal('succeeded');
  });

  it('keeps attempts and the retry budget', () => {
    // Guards against a job that is retried forever because each handover resets its retries.
    const previous = new ShardHarness([1, 1, 1], room);
    const id = previous.submit({});
    const [first] = previous.step();
    if (first !== undefined) previous.reportChange(first, 'failed');
    const next = new ShardHarness([1, 1, 1], room, transfer(previous.shard.createSnapshot()));
    const [second] = next.step(periods.maxRetryDelayMs);
    expect(second?.assignment.attempt).to.be.greaterThan(first?.assignment.attempt ?? Infinity);
    // The harness permits one retry.
    if (second !== undefined) next.reportChange(second, 'failed');
    expect(next.step(periods.maxRetryDelayMs)).to.deep.equal([]);
    expect(next.readState(id)).to.equal('failed');
  });

  it('contains commands only of requests that may still run', () => {
    // Guards against large commands that are kept for the retention time, and against a start without a command.
    const previous = new ShardHarness([1], room);
    const finished = previous.submit({ size: large, command: 'first' });
    previous.submit({ size: large, command: 'second' });
    previous.step();
    succeed(previous, finished);
    const commands = previous.shard.createSnapshot().requests.map(({ request }) => request.command);
    expect(commands).to.deep.equal(['', 'second']);
    expect(previous.step(100).map(({ assignment }) => assignment.request.command)).to.deep.equal([
      'second',
    ]);
  });

  it('continues a cancellation', () => {
    // Guards against a cancelled request that the next owner does not stop.
    const previous = new ShardHarness([1], room);
    const id = previous.submit({});
    previous.step();
    previous.shard.cancel(id);
    const next = new ShardHarness([1], room, transfer(previous.shard.createSnapshot()));
    next.step();
    expect(next.commands.at(-1)).to.include({ action: 'stop', cancelled: true });
    expect(next.readState(id)).to.equal('stopping');
  });

  it('holds back a request if the previous owner did not know the outcome of its start', () => {
    // Guards against a second start of a task that the worker may have accepted.
    const previous = new ShardHarness([1, 1], room);
    const ids = [previous.submit({ idempotent: false }), previous.submit({ idempotent: true })];
    previous.shard.dispatch(100);
    const snapshot = transfer(previous.shard.createSnapshot());
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

describe('the retention of finished requests', () => {
  it('keeps each answer for exactly the retention time, in the order of completion', () => {
    // Guards against answers that are dropped early, and against memory that grows with each request.
    const harness = new ShardHarness([1], room);
    const ids = [harness.submit({}), harness.submit({}), harness.submit({ idempotent: false })];
    harness.step();
    const laterCompletionMs = periods.retentionMs / 2;
    succeed(harness, ids[1] ?? '');
    harness.step(0);
    for (let elapsedMs = 0; elapsedMs < laterCompletionMs; elapsedMs += 5000) harness.step(5000);
    succeed(harness, ids[0] ?? '');
    const listKnown = (): readonly boolean[] => ids.map((id) => harness.shard.hasRequest(id));
    harness.step(0);
    for (let elapsedMs = laterCompletionMs; elapsedMs < periods.retentionMs; elapsedMs += 5000)
      harness.step(5000);
    expect(listKnown()).to.deep.equal([true, true, true]);
    harness.step(1);
    expect(listKnown()).to.deep.equal([true, false, true]);
    for (let elapsedMs = 0; elapsedMs < laterCompletionMs; elapsedMs += 5000) harness.step(5000);
    expect(listKnown(), 'the running request stays').to.deep.equal([false, false, true]);
    expect(harness.readState(ids[2] ?? '')).to.equal('running');
  });
});
