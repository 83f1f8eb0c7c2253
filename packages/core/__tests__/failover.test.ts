import type { JournalEntry } from '@toucanline/schema';
import { expect } from 'chai';
import { createFailure } from '../src/index.js';
import { createOwnerFixture } from './createOwnerFixture.js';

const id = 's1.q';
const storeDown = createFailure('storeUnavailable', 'the store is down');

describe('a new owner that adopts reported tasks', () => {
  // Guards against a task that runs twice, because another worker may run a later attempt.
  it('retries a finished attempt only after all workers reported', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'failed' })]);
    expect(countStarts()).to.equal(0);
    report('w1', [describeTask(2, {})]);
    expect(countStarts()).to.equal(0);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('running');
  });

  // Guards against a restart of a request that finished long ago: it may have been cancelled, or have succeeded, on
  // a worker that has restarted since.
  it('retries a finished attempt once a caller is interested and no worker runs a later one', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'failed' })]);
    report('w1', []);
    expect(countStarts()).to.equal(0);
    shard.registerInterest(id);
    expect(countStarts()).to.equal(1);
  });

  // Guards against a cancelled request that starts again after a failover.
  it('finishes a request that was cancelled under the previous owner', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'stopped', cancelled: true })]);
    report('w1', []);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    expect(countStarts()).to.equal(0);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against a request that waits forever, because no entry sent its deadline to this owner.
  it('finishes a request without interested callers at its deadline', () => {
    const { clock, shard, describeTask, report, countStarts } = createOwnerFixture();
    const task = describeTask(1, { state: 'failed' });
    const request = { ...task.assignment.request, deadlineAtMs: clock.wallTime() + 1000 };
    report('w0', [{ ...task, assignment: { ...task.assignment, request } }]);
    report('w1', []);
    countStarts();
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('waiting');
    for (let step = 0; step < 3; step += 1) countStarts();
    expect(shard.read(id)._unsafeUnwrap().failure?.kind).to.equal('deadlinePassed');
  });

  // Guards against two runs with one idempotency key: the new owner accepted the duplicate before a worker reported
  // the original request.
  it('adopts a task of the original request for a duplicate with the same idempotency key', () => {
    const { shard, submission, describeTask, report, countStarts } = createOwnerFixture();
    const duplicate = { ...submission.request, id: 's1.repeat', idempotencyKey: 'k' };
    expect(shard.submit({ ...submission, request: duplicate }).isOk()).to.equal(true);
    const task = describeTask(1, {});
    const request = { ...task.assignment.request, idempotencyKey: 'k' };
    report('w0', [{ ...task, assignment: { ...task.assignment, request } }]);
    report('w1', []);
    expect(countStarts()).to.equal(0);
    expect(shard.read('s1.repeat')._unsafeUnwrap().state).to.equal('running');
    expect(shard.read(id)._unsafeUnwrap().id).to.equal('s1.repeat');
  });

  // Guards against a 404 for the id of the original request, whose entry submits it after the duplicate.
  it('finds a request by the id of the original although it accepted the duplicate first', () => {
    const { shard, submission } = createOwnerFixture();
    const first = { ...submission.request, idempotencyKey: 'k' };
    shard.submit({ ...submission, request: { ...first, id: 's1.repeat' } })._unsafeUnwrap();
    shard.submit({ ...submission, request: first, heldEpoch: 1, heldMs: 1000 })._unsafeUnwrap();
    expect(shard.read(id)._unsafeUnwrap().id).to.equal('s1.repeat');
  });
});

describe('an owner that cannot confirm its claim', () => {
  // Guards against a previous owner that uses a worker which restarted and lost the epoch of the new owner.
  it('starts no task on a restarted worker until the leases from before the restart have expired', () => {
    const { clock, shard, submission, report } = createOwnerFixture();
    const countStarts = (clockMs: number, isClaimed: boolean): number => {
      for (const worker of ['w0', 'w1']) report(worker, [], clockMs);
      shard.tick();
      shard.dispatch(10, isClaimed);
      return shard.takeEffects().filter(({ effect }) => effect === 'start').length;
    };
    shard.submit(submission)._unsafeUnwrap();
    expect(countStarts(5000, false)).to.equal(0);
    clock.advance(12_000);
    expect(countStarts(17_000, false)).to.equal(1);
    const duplicate = { ...submission, request: { ...submission.request, id: 's1.r' } };
    shard.submit(duplicate)._unsafeUnwrap();
    expect(countStarts(5000, true)).to.equal(1);
  });
});

describe('a request in the journal', () => {
  const reportIdleWorkers = (owner: ReturnType<typeof createOwnerFixture>): void => {
    owner.report('w0', []);
    owner.report('w1', []);
  };

  // Guards against the loss of a request whose entry and owner fail after its caller got 202.
  it('survives its owner once its caller stopped waiting', () => {
    const previous = createOwnerFixture();
    reportIdleWorkers(previous);
    previous.shard.submit(previous.submission)._unsafeUnwrap();
    expect(previous.shard.read(id)._unsafeUnwrap().durable).to.equal(false);
    previous.shard.persistRequest(id);
    previous.countStarts(storeDown);
    expect(previous.shard.isJournalSettled(id)).to.equal(true);
    expect(previous.shard.read(id)._unsafeUnwrap().durable).to.equal(false);
    for (let step = 0; step < 3; step += 1) previous.countStarts();
    expect(previous.shard.read(id)._unsafeUnwrap().durable).to.equal(true);
    const next = createOwnerFixture(previous.journal);
    reportIdleWorkers(next);
    expect(next.countStarts()).to.equal(1);
    expect(next.shard.read(id)._unsafeUnwrap().durable).to.equal(true);
  });

  // Guards against a cancelled request that its entry submits to the next owner, after it was answered "ran: no".
  it('stays cancelled under the next owner once the caller sees the cancellation', () => {
    const previous = createOwnerFixture();
    previous.shard.submit(previous.submission)._unsafeUnwrap();
    previous.shard.cancel(id)._unsafeUnwrap();
    expect(previous.shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    previous.countStarts(storeDown);
    expect(previous.shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    for (let step = 0; step < 3; step += 1) previous.countStarts();
    expect(previous.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
    const next = createOwnerFixture(previous.journal);
    next.shard.submit({ ...next.submission, heldEpoch: 1, heldMs: 1000 })._unsafeUnwrap();
    reportIdleWorkers(next);
    expect(next.countStarts()).to.equal(0);
    expect(next.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against a cancellation that is lost with the owner before its stop command arrives.
  it('is stopped by the next owner if it was cancelled while it ran', () => {
    const previous = createOwnerFixture();
    reportIdleWorkers(previous);
    previous.shard.submit(previous.submission)._unsafeUnwrap();
    expect(previous.countStarts()).to.equal(1);
    const [started] = previous.shard.read(id)._unsafeUnwrap().tasks;
    const task = previous.describeTask(1, {});
    const assignment = { ...task.assignment, taskId: started?.id ?? '' };
    previous.report(started?.worker ?? '', [{ ...task, assignment }]);
    previous.shard.cancel(id)._unsafeUnwrap();
    expect(previous.shard.isJournalSettled(id)).to.equal(false);
    previous.countStarts();
    expect(previous.shard.isJournalSettled(id)).to.equal(true);
    const next = createOwnerFixture(previous.journal);
    next.report('w0', [{ ...task, assignment }]);
    next.report('w1', []);
    const stops = next.takeCommands().map(({ action, cancelled }) => [action, cancelled]);
    expect(stops).to.deep.equal([['stop', true]]);
    next.report('w0', [{ ...task, assignment, state: 'stopped' }]);
    expect(next.countStarts()).to.equal(0);
    expect(next.shard.read(id)._unsafeUnwrap()).to.include({ state: 'cancelled', ran: 'yes' });
    const last = createOwnerFixture(previous.journal);
    reportIdleWorkers(last);
    expect(last.countStarts()).to.equal(0);
    expect(last.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against an outcome that is never shown because the store does not answer.
  it('shows its outcome although the commit of its completion does not return', () => {
    const owner = createOwnerFixture();
    reportIdleWorkers(owner);
    owner.shard.submit(owner.submission)._unsafeUnwrap();
    owner.shard.persistRequest(id);
    expect(owner.countStarts()).to.equal(1);
    const [started] = owner.shard.read(id)._unsafeUnwrap().tasks;
    const task = owner.describeTask(1, { state: 'succeeded', output: 'x' });
    const assignment = { ...task.assignment, taskId: started?.id ?? '' };
    owner.report(started?.worker ?? '', [{ ...task, assignment }]);
    owner.shard.takeEffects();
    expect(owner.shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    for (let step = 0; step < 5; step += 1) owner.countStarts();
    expect(owner.shard.read(id)._unsafeUnwrap().state).to.equal('succeeded');
  });

  // Guards against a completion that the next owner loses, because a worker reported a task before the journal was
  // read.
  it('keeps the journaled completion, and stops a task that a worker reported before', () => {
    const owner = createOwnerFixture();
    owner.report('w0', [owner.describeTask(1, {})]);
    owner.takeCommands();
    const accepted: JournalEntry = {
      entry: 'accepted',
      request: owner.submission.request,
      deadlineAtMs: owner.clock.wallTime() + 60_000,
    };
    const view = owner.shard.read(id)._unsafeUnwrap();
    const completedView = { ...view, state: 'cancelled', ran: 'yes', tasks: [] } as const;
    owner.shard.loadJournal([accepted, { entry: 'finished', view: completedView, atMs: 0 }]);
    expect(owner.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
    const [command] = owner.takeCommands();
    expect(command).to.include({ taskId: 's1.q/0/1.1', action: 'stop', cancelled: true });
    // Guards against resources that are never released: a full report may be the first to have the end of the task.
    expect(owner.shard.describeStatus().running).to.equal(1);
    owner.report('w0', [owner.describeTask(1, { state: 'stopped', cancelled: true })]);
    expect(owner.shard.describeStatus().running).to.equal(0);
  });
});
