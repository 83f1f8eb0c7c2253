import type { JournalEntry } from '@toucanline/schema';
import { expect } from 'chai';
import { createFailure } from '../src/index.js';
import { createOwnerFixture } from './createOwnerFixture.js';

const id = 's1.q';
const storeDown = createFailure('storeUnavailable', 'the store is down');

describe('a new owner that adopts reported tasks', () => {
  // Guards against a task in two places: the other worker may run a later attempt.
  it('retries an ended attempt only after all workers reported', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'failed' })]);
    expect(countStarts()).to.equal(0);
    report('w1', [describeTask(2, {})]);
    expect(countStarts()).to.equal(0);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('running');
  });

  // Guards against work of a request that ended long ago: it may have been cancelled, or have succeeded,
  // on a worker that restarted since.
  it('retries an ended attempt once somebody asks for it and no worker runs a later one', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'failed' })]);
    report('w1', []);
    expect(countStarts()).to.equal(0);
    shard.registerInterest(id);
    expect(countStarts()).to.equal(1);
  });

  // Guards against work of a cancelled request that starts again after a failover.
  it('ends a request that was cancelled under the former owner', () => {
    const { shard, describeTask, report, countStarts } = createOwnerFixture();
    report('w0', [describeTask(1, { state: 'stopped', cancelled: true })]);
    report('w1', []);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    expect(countStarts()).to.equal(0);
    expect(shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against a request that waits for ever, because its entry told this owner no deadline.
  it('ends a request that nobody asks for at its deadline', () => {
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

  // Guards against two runs of one key: the new owner took the repeat before a worker reported the first.
  it('takes a task of an earlier request with the same key as one of the repeat', () => {
    const { shard, submission, describeTask, report, countStarts } = createOwnerFixture();
    const repeat = { ...submission.request, id: 's1.repeat', idempotencyKey: 'k' };
    expect(shard.submit({ ...submission, request: repeat }).isOk()).to.equal(true);
    const task = describeTask(1, {});
    const request = { ...task.assignment.request, idempotencyKey: 'k' };
    report('w0', [{ ...task, assignment: { ...task.assignment, request } }]);
    report('w1', []);
    expect(countStarts()).to.equal(0);
    expect(shard.read('s1.repeat')._unsafeUnwrap().state).to.equal('running');
    expect(shard.read(id)._unsafeUnwrap().id).to.equal('s1.repeat');
  });

  // Guards against 404 for the id of the first request, whose entry hands it in after that of the repeat.
  it('finds a request by the id of the first one although it took the repeat', () => {
    const { shard, submission } = createOwnerFixture();
    const first = { ...submission.request, idempotencyKey: 'k' };
    shard.submit({ ...submission, request: { ...first, id: 's1.repeat' } })._unsafeUnwrap();
    shard.submit({ ...submission, request: first, heldEpoch: 1, heldMs: 1000 })._unsafeUnwrap();
    expect(shard.read(id)._unsafeUnwrap().id).to.equal('s1.repeat');
  });
});

describe('an owner that cannot confirm its claim', () => {
  // Guards against a former owner on a worker that restarted and forgot the epoch of the new one.
  it('gives a restarted worker no task until the leases from before have ended', () => {
    const { clock, shard, submission, report } = createOwnerFixture();
    const countStarts = (upMs: number, claimed: boolean): number => {
      for (const worker of ['w0', 'w1']) report(worker, [], upMs);
      shard.tick();
      shard.dispatch(10, claimed);
      return shard.takeEffects().filter(({ effect }) => effect === 'start').length;
    };
    shard.submit(submission)._unsafeUnwrap();
    expect(countStarts(5000, false)).to.equal(0);
    clock.advance(12_000);
    expect(countStarts(17_000, false)).to.equal(1);
    const repeat = { ...submission, request: { ...submission.request, id: 's1.r' } };
    shard.submit(repeat)._unsafeUnwrap();
    expect(countStarts(5000, true)).to.equal(1);
  });
});

describe('a request in the journal', () => {
  const recover = (owner: ReturnType<typeof createOwnerFixture>): void => {
    owner.report('w0', []);
    owner.report('w1', []);
  };

  // Guards against the loss of a request whose entry and owner fail after its caller was told 202.
  it('outlasts its owner once its caller stopped to wait', () => {
    const former = createOwnerFixture();
    recover(former);
    former.shard.submit(former.submission)._unsafeUnwrap();
    expect(former.shard.read(id)._unsafeUnwrap().durable).to.equal(false);
    former.shard.persistRequest(id);
    former.countStarts(storeDown);
    expect(former.shard.isJournalSettled(id)).to.equal(true);
    expect(former.shard.read(id)._unsafeUnwrap().durable).to.equal(false);
    for (let step = 0; step < 3; step += 1) former.countStarts();
    expect(former.shard.read(id)._unsafeUnwrap().durable).to.equal(true);
    const next = createOwnerFixture(former.journal);
    recover(next);
    expect(next.countStarts()).to.equal(1);
    expect(next.shard.read(id)._unsafeUnwrap().durable).to.equal(true);
  });

  // Guards against a cancelled request that its entry hands in to the next owner: "ran: no" is a promise.
  it('stays cancelled under the next owner, from the time at which the caller is told', () => {
    const former = createOwnerFixture();
    former.shard.submit(former.submission)._unsafeUnwrap();
    former.shard.cancel(id)._unsafeUnwrap();
    expect(former.shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    former.countStarts(storeDown);
    expect(former.shard.read(id)._unsafeUnwrap().state).to.equal('stopping');
    for (let step = 0; step < 3; step += 1) former.countStarts();
    expect(former.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
    const next = createOwnerFixture(former.journal);
    next.shard.submit({ ...next.submission, heldEpoch: 1, heldMs: 1000 })._unsafeUnwrap();
    recover(next);
    expect(next.countStarts()).to.equal(0);
    expect(next.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against a cancellation that is lost with the owner, before its stop command arrived.
  it('is stopped by the next owner if it was cancelled while it ran', () => {
    const former = createOwnerFixture();
    recover(former);
    former.shard.submit(former.submission)._unsafeUnwrap();
    expect(former.countStarts()).to.equal(1);
    const [started] = former.shard.read(id)._unsafeUnwrap().tasks;
    const task = former.describeTask(1, {});
    const assignment = { ...task.assignment, taskId: started?.id ?? '' };
    former.report(started?.worker ?? '', [{ ...task, assignment }]);
    former.shard.cancel(id)._unsafeUnwrap();
    expect(former.shard.isJournalSettled(id)).to.equal(false);
    former.countStarts();
    expect(former.shard.isJournalSettled(id)).to.equal(true);
    const next = createOwnerFixture(former.journal);
    next.report('w0', [{ ...task, assignment }]);
    next.report('w1', []);
    const stops = next.takeCommands().map(({ action, cancelled }) => [action, cancelled]);
    expect(stops).to.deep.equal([['stop', true]]);
    next.report('w0', [{ ...task, assignment, state: 'stopped' }]);
    expect(next.countStarts()).to.equal(0);
    expect(next.shard.read(id)._unsafeUnwrap()).to.include({ state: 'cancelled', ran: 'yes' });
    const last = createOwnerFixture(former.journal);
    recover(last);
    expect(last.countStarts()).to.equal(0);
    expect(last.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
  });

  // Guards against a result that a store without answers keeps from its caller.
  it('shows its result although the commit of its end does not return', () => {
    const owner = createOwnerFixture();
    recover(owner);
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

  // Guards against an end that a later owner undoes: a worker reported a task before the journal was read.
  it('keeps the end that the journal has, and stops a task that a worker reported before', () => {
    const owner = createOwnerFixture();
    owner.report('w0', [owner.describeTask(1, {})]);
    owner.takeCommands();
    const accepted: JournalEntry = {
      entry: 'accepted',
      request: owner.submission.request,
      deadlineAtMs: owner.clock.wallTime() + 60_000,
    };
    const view = owner.shard.read(id)._unsafeUnwrap();
    const end = { ...view, state: 'cancelled', ran: 'yes', tasks: [] } as const;
    owner.shard.loadJournal([accepted, { entry: 'finished', view: end, atMs: 0 }]);
    expect(owner.shard.read(id)._unsafeUnwrap().state).to.equal('cancelled');
    const [command] = owner.takeCommands();
    expect(command).to.include({ taskId: 's1.q/0/1.1', action: 'stop', cancelled: true });
    // Guards against capacity that stays taken: a full report may be the first to tell of the end.
    expect(owner.shard.describeStatus().running).to.equal(1);
    owner.report('w0', [owner.describeTask(1, { state: 'stopped', cancelled: true })]);
    expect(owner.shard.describeStatus().running).to.equal(0);
  });
});
