import { expect } from 'chai';
import { Scheduler, Worker, type Command } from '../src/index.js';
import { fixtures } from './fixtures.js';

const { configuration, job, step, worker } = fixtures;

type StartCommand = Extract<Command, { kind: 'start' }>;
type StopCommand = Extract<Command, { kind: 'stop' }>;

const selectStarts = (commands: readonly Command[]): readonly StartCommand[] =>
  commands.filter((command): command is StartCommand => command.kind === 'start');
const selectStops = (commands: readonly Command[]): readonly StopCommand[] =>
  commands.filter((command): command is StopCommand => command.kind === 'stop');

const bounds = { maxStopMs: 200, maxLeaseMs: 6000 };
const noRuns = { life: 1, clockMs: 0, running: [], ended: [] };
const run = { task: 'a.0.0.0', run: 1, checkpoint: '', percent: 10, load: 0 };

/** Starts a task on `w0`, which is idle and may have restarted; `w1` is free. */
const startTask = (): { readonly scheduler: Scheduler; readonly command: StartCommand } => {
  const scheduler = new Scheduler(1, 1, 0, bounds);
  scheduler.configure(configuration());
  const w0 = scheduler.updateWorker(worker('w0'), false);
  if (w0 === undefined) throw new Error('updateWorker returned no new worker');
  scheduler.handleReport(w0, noRuns, 0, 0, 0);
  scheduler.addJob(job('a', [step(1, 100)]), 2, 0);
  const [command] = selectStarts(scheduler.plan(1, 1));
  if (command === undefined) throw new Error('the plan has no start command');
  command.worker.extendLease(1);
  const w1 = scheduler.updateWorker(worker('w1'), false);
  if (w1 === undefined) throw new Error('updateWorker returned no new worker');
  scheduler.handleReport(w1, noRuns, 1, 1, 1);
  return { scheduler, command };
};

const findWorker = (scheduler: Scheduler, id: string): Worker => {
  const found = scheduler.workers.find((each) => each.id === id);
  if (found === undefined) throw new Error(`${id} is not known`);
  return found;
};

describe('a worker that restarts under its id', () => {
  // Guards against a second run of a task: an idle worker restarted unnoticed and accepted the start, and the leader
  // took the run for one of the incarnation that had ended.
  it('keeps a task that it has accepted, whether a report or its entry shows the restart first', () => {
    for (const isReportFirst of [true, false]) {
      const { scheduler, command } = startTask();
      scheduler.handleStartOutcome(command, 'started', 2);
      if (isReportFirst) scheduler.handleReport(command.worker, { ...noRuns, life: 9 }, 3, 4, 4);
      else scheduler.updateWorker(worker('w0', { life: 9 }), false);
      expect(scheduler.plan(5, 5)).to.deep.equal([]);
      const next = findWorker(scheduler, 'w0');
      expect(next.life).to.equal(9);
      const report = { ...noRuns, life: 9, running: [run] };
      expect(scheduler.handleReport(next, report, 6, 7, 7)).to.deep.equal([]);
      expect(scheduler.plan(8, 8)).to.deep.equal([]);
      expect(command.task.phase).to.equal('running');
      expect(command.task.worker).to.equal(next);
    }
  });

  // Guards against a task that waits for ever for a worker which restarted and was then lost for good.
  it('keeps a task no longer than its lease if it does not report', () => {
    for (const isReportFirst of [true, false]) {
      const { scheduler, command } = startTask();
      scheduler.handleStartOutcome(command, 'started', 2);
      if (isReportFirst) scheduler.handleReport(command.worker, { ...noRuns, life: 9 }, 3, 4, 4);
      else scheduler.updateWorker(worker('w0', { life: 9 }), false);
      expect(scheduler.plan(5900, 5900)).to.deep.equal([]);
      expect(selectStarts(scheduler.plan(6400, 6400))).to.have.length(1);
    }
  });

  it('loses a task that its report does not list', () => {
    const { scheduler, command } = startTask();
    scheduler.handleStartOutcome(command, 'started', 2);
    scheduler.updateWorker(worker('w0', { life: 9 }), false);
    scheduler.handleReport(findWorker(scheduler, 'w0'), { ...noRuns, life: 9 }, 6, 7, 7);
    expect(selectStarts(scheduler.plan(8, 8))).to.have.length(1);
  });

  // Guards against a second run of a task whose start has no answer yet: the next incarnation may still execute it, and
  // knows nothing of a stop that the earlier one has confirmed.
  it('must confirm a stop of its own for a start without an answer', () => {
    const { scheduler, command } = startTask();
    scheduler.handleStartOutcome(command, 'unknown', 100);
    const [first] = selectStops(scheduler.plan(101, 101));
    if (first === undefined) throw new Error('the plan has no stop command');
    scheduler.updateWorker(worker('w0', { life: 9 }), false);
    scheduler.handleStopOutcome(first, true, 110);
    const next = findWorker(scheduler, 'w0');
    scheduler.handleReport(next, { ...noRuns, life: 9 }, 400, 401, 401);
    const repeated = scheduler.plan(500, 500);
    expect(selectStarts(repeated)).to.deep.equal([]);
    const [second] = selectStops(repeated);
    expect(second?.worker).to.equal(next);
    if (second === undefined) throw new Error('the stop is not repeated');
    scheduler.handleStopOutcome(second, true, 510);
    scheduler.handleReport(next, { ...noRuns, life: 9 }, 800, 801, 801);
    expect(selectStarts(scheduler.plan(802, 802))).to.have.length(1);
  });

  it('gets no further tasks until its entry is listed, since its capacity may differ', () => {
    const { scheduler, command } = startTask();
    scheduler.handleStartOutcome(command, 'started', 2);
    scheduler.handleReport(command.worker, { ...noRuns, life: 9 }, 3, 4, 4);
    const next = findWorker(scheduler, 'w0');
    scheduler.handleReport(next, { ...noRuns, life: 9, running: [run] }, 6, 7, 7);
    expect(next.canAcceptTasks(8)).to.equal(false);
    const room = fixtures.room(500);
    expect(scheduler.updateWorker(worker('w0', { life: 9, capacity: room }), false)).to.equal(
      undefined,
    );
    expect(next.canAcceptTasks(9)).to.equal(true);
    expect(next.free.milliProcessors).to.equal(400);
  });

  // Guards against a second run of a completed task: the number of an end of the earlier incarnation was acknowledged
  // to the next one, which discarded the end of the run with the same number.
  it('is not told to discard ends that it has not listed', () => {
    const { scheduler, command } = startTask();
    const { worker: w0 } = command;
    scheduler.handleStartOutcome(command, 'started', 2);
    const end = { number: 1, task: 'a.0.0.0', run: 1, outcome: 'done', checkpoint: '' } as const;
    scheduler.handleReport(w0, { ...noRuns, ended: [end] }, 3, 4, 4);
    expect(w0.acknowledgement).to.equal(0);
    scheduler.progress.confirmBatch(scheduler.progress.takeBatch());
    expect(w0.acknowledgement).to.equal(1);
    w0.recordCallFailure(10, 9);
    expect(w0.acknowledgement).to.equal(0);
    scheduler.handleReport(w0, { ...noRuns, ended: [end] }, 11, 12, 12);
    expect(w0.acknowledgement).to.equal(1);
    scheduler.handleReport(w0, noRuns, 13, 14, 14);
    expect(w0.acknowledgement).to.equal(0);
  });

  // Guards against a job that waits for the lease of a lost worker: an expiry on the clock of the earlier incarnation
  // may be hours away on that of the next one, which shortens the lease.
  it('holds no lease longer than the longest one', () => {
    const restarted = new Worker(worker('w0'), 6000);
    restarted.recordContact(3_600_000, 0);
    restarted.markSurveyed();
    restarted.extendLease(10);
    restarted.recordContact(50, 20);
    expect(restarted.leasesExpireAt).to.be.below(7000);
  });

  // Guards against a second run after a takeover: the previous leader had started tasks on the next incarnation before
  // it learned of the restart.
  it('is surveyed before a new leader starts tasks that the previous leader knew', () => {
    for (const isReportFirst of [true, false]) {
      const scheduler = new Scheduler(2, 100, 0, { ...bounds, maxStopMs: 0 });
      scheduler.configure(configuration());
      const w0 = scheduler.updateWorker(worker('w0'), true);
      const w1 = scheduler.updateWorker(worker('w1'), true);
      if (w0 === undefined || w1 === undefined)
        throw new Error('updateWorker returned no new worker');
      scheduler.addJob(job('a', [step(1, 100)]), 50, 0);
      scheduler.handleReport(w1, noRuns, 0, 1, 1);
      if (isReportFirst) scheduler.handleReport(w0, { ...noRuns, life: 9 }, 0, 1, 1);
      else scheduler.updateWorker(worker('w0', { life: 9 }), false);
      expect(selectStarts(scheduler.plan(2, 2))).to.deep.equal([]);
      const report = { ...noRuns, life: 9, running: [run] };
      scheduler.handleReport(findWorker(scheduler, 'w0'), report, 3, 4, 4);
      expect(selectStarts(scheduler.plan(5, 5))).to.deep.equal([]);
      expect(scheduler.findJobState('a')).to.equal('running');
    }
  });

  // Guards against a worker that is never used again, with tasks that are never started again: the time of day of its
  // machine had jumped back, so that a restart lowered its life (review/8).
  it('is another incarnation also if its life is lower', () => {
    for (const isReportFirst of [true, false]) {
      const { scheduler, command } = startTask();
      scheduler.handleStartOutcome(command, 'started', 2);
      scheduler.handleReport(command.worker, { ...noRuns, running: [run] }, 3, 4, 4);
      if (isReportFirst) scheduler.handleReport(command.worker, { ...noRuns, life: 0 }, 5, 6, 6);
      scheduler.updateWorker(worker('w0', { life: 0 }), false);
      const next = findWorker(scheduler, 'w0');
      expect(next.life).to.equal(0);
      expect(selectStarts(scheduler.plan(7, 7))).to.have.length(1);
      scheduler.handleReport(next, { ...noRuns, life: 0 }, 8, 9, 9);
      expect(next.canAcceptTasks(10)).to.equal(true);
    }
  });

  // Guards against tasks that are released from a running incarnation because an entry of an ended one arrives late:
  // no comparison of the lives tells which of the two is newer.
  it('is not replaced by an entry that is older or shows an incarnation that has ended', () => {
    for (const lives of [
      [1, 5, 3],
      [5, 1, 3],
      [3, 5, 1],
    ] as const) {
      const [first, second, third] = lives;
      const scheduler = new Scheduler(1, 1, 0, bounds);
      scheduler.updateWorker(worker('w0', { life: first }), false, undefined, 10);
      scheduler.updateWorker(worker('w0', { life: second }), false, undefined, 12);
      scheduler.updateWorker(worker('w0', { life: third }), false, undefined, 11);
      expect(findWorker(scheduler, 'w0').life).to.equal(second);
      scheduler.updateWorker(worker('w0', { life: first }), false, undefined, 13);
      expect(findWorker(scheduler, 'w0').life).to.equal(second);
      scheduler.updateWorker(worker('w0', { life: third }), false, undefined, 14);
      expect(findWorker(scheduler, 'w0').life).to.equal(third);
    }
  });

  // Guards against a second run of a task: a report had shown an incarnation whose entry had not arrived when a late
  // entry of an incarnation between the two arrived, and its runs were taken for ended.
  it('keeps its runs if an entry of an unknown incarnation arrives before its own', () => {
    for (const isNewer of [true, false]) {
      const { scheduler, command } = startTask();
      scheduler.handleStartOutcome(command, 'started', 2);
      scheduler.handleReport(command.worker, { ...noRuns, life: 9 }, 3, 4, 4);
      const reported = findWorker(scheduler, 'w0');
      scheduler.handleReport(reported, { ...noRuns, life: 9, running: [run] }, 5, 6, 6);
      scheduler.updateWorker(worker('w0', { life: 4 }), false, undefined, 12);
      const listed = findWorker(scheduler, 'w0');
      expect(listed.life).to.equal(4);
      expect(scheduler.plan(7, 7)).to.deep.equal([]);
      const life = isNewer ? 4 : 9;
      scheduler.handleReport(listed, { ...noRuns, life, running: isNewer ? [] : [run] }, 8, 9, 9);
      expect(selectStarts(scheduler.plan(10, 10))).to.have.length(isNewer ? 1 : 0);
      const ended = worker('w0', { life: isNewer ? 9 : 4 });
      scheduler.updateWorker(ended, false, undefined, 13);
      expect(findWorker(scheduler, 'w0').life).to.equal(life);
    }
  });
});
