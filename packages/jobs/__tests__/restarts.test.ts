import { expect } from 'chai';
import { Scheduler, Worker, type Command } from '../src/index.js';
import { FencingTokens } from '../src/membership/FencingTokens.js';
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
      for (const failedAt of [5900, 6300])
        findWorker(scheduler, 'w0').recordCallFailure(failedAt, failedAt - 400);
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
    const restarted = new Worker(worker('w0'), 6000, new FencingTokens(1));
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
    for (const [first, second, third] of [
      [1, 5, 3],
      [5, 1, 3],
      [3, 5, 1],
    ] as const) {
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

  /** Plays a start without a response on `w0`, whose stop is confirmed and whose run is gone from the report. */
  const loseStart = (): ReturnType<typeof startTask> => {
    const started = startTask();
    const { scheduler, command } = started;
    scheduler.handleStartOutcome(command, 'unknown', 100);
    confirmStops(scheduler, 101);
    report(scheduler, 400, 1);
    return started;
  };
  const confirmStops = (scheduler: Scheduler, now: number): readonly StopCommand[] => {
    const stops = selectStops(scheduler.plan(now, now));
    for (const stop of stops) scheduler.handleStopOutcome(stop, true, now);
    return stops;
  };
  const report = (scheduler: Scheduler, now: number, life: number): void => {
    const w0 = findWorker(scheduler, 'w0');
    scheduler.handleReport(w0, { ...noRuns, life, clockMs: now }, now, now, now);
    w0.extendLease(now);
  };

  // Guards against two runs of a task at the same time: the start without a response was executed seconds later by the
  // next incarnation, beside the run on another worker (review/7).
  it('gets a task again whose start it may execute late, and no other worker does', () => {
    const { scheduler, command } = loseStart();
    const [again] = selectStarts(scheduler.plan(401, 401));
    expect(again?.worker.id).to.equal('w0');
    expect(again?.run).to.equal(2);
    if (again === undefined) throw new Error('the task does not start again');
    scheduler.handleStartOutcome(again, 'started', 402);
    scheduler.handleReport(
      again.worker,
      { ...noRuns, running: [{ ...run, run: 2 }] },
      403,
      404,
      404,
    );
    scheduler.updateWorker(worker('w0', { life: 9 }), false);
    const [stop] = confirmStops(scheduler, 500);
    expect(stop?.worker).to.equal(findWorker(scheduler, 'w0'));
    expect(stop?.run).to.equal(2);
    expect(selectStarts(scheduler.plan(501, 501))).to.deep.equal([]);
    expect(command.task.phase).to.equal('stopping');
    report(scheduler, 800, 9);
    expect(selectStarts(scheduler.plan(801, 801)).map(({ worker: { id } }) => id)).to.deep.equal([
      'w0',
    ]);
  });

  // Guards against a run that is adopted, or that uses resources which were given to other tasks, on the next incarnation.
  it('keeps the resources of a waiting task free and stops its late run first', () => {
    const { scheduler, command } = loseStart();
    scheduler.updateWorker(worker('w0', { isDraining: true }), false);
    scheduler.addJob(job('b', [step(320, 100)]), 3, 401);
    expect(
      selectStarts(scheduler.plan(402, 402)).map(({ task }) => task.step.job.id),
    ).to.not.include('a');
    scheduler.updateWorker(worker('w0', { life: 9 }), false);
    const next = findWorker(scheduler, 'w0');
    expect(command.task.phase).to.equal('stopping');
    expect(next.tasks.has(command.task)).to.equal(true);
    const late = { ...noRuns, life: 9, running: [run] };
    expect(scheduler.handleReport(next, late, 500, 501, 501)).to.deep.equal([]);
    const starts = selectStarts(scheduler.plan(502, 502)).filter(
      ({ worker: { id } }) => id === 'w0',
    );
    expect(starts).to.have.length(159);
    expect(command.task.phase).to.equal('stopping');
  });

  // Guards against a job that waits for ever for a worker that drains, is full or is lost.
  it('blocks other workers only until it can no longer execute the start', () => {
    for (const isLost of [true, false]) {
      const { scheduler } = loseStart();
      if (isLost) scheduler.unlistWorker('w0');
      else scheduler.updateWorker(worker('w0', { isDraining: true }), false);
      expect(selectStarts(scheduler.plan(12_500, 12_500))).to.deep.equal([]);
      if (!isLost) report(scheduler, 12_601, 1);
      const releasedAt = isLost ? 18_900 : 12_602;
      const starts = selectStarts(scheduler.plan(releasedAt, releasedAt));
      expect(starts.map(({ worker: { id } }) => id)).to.deep.equal(['w1']);
    }
  });

  // Guards against a task that starts over and over on a worker which leaves its commands unanswered.
  it('gets no more than a few starts without a response, before the task may start elsewhere', () => {
    const { scheduler } = loseStart();
    let now = 401;
    for (let start = 2; start <= 4; start += 1) {
      const [again] = selectStarts(scheduler.plan(now, now));
      expect(again?.worker.id).to.equal('w0');
      if (again === undefined) throw new Error('the task does not start again');
      scheduler.handleStartOutcome(again, 'unknown', now + 100);
      confirmStops(scheduler, now + 101);
      now += 400;
      report(scheduler, now, 1);
    }
    expect(selectStarts(scheduler.plan(now, now))).to.deep.equal([]);
    // The first of the starts can no longer be executed, the last one can.
    report(scheduler, 12_601, 1);
    expect(selectStarts(scheduler.plan(12_602, 12_602))).to.deep.equal([]);
    report(scheduler, 13_802, 1);
    expect(selectStarts(scheduler.plan(13_803, 13_803))).to.have.length(1);
  });

  // Guards against a run of a task that is done: its late start is still to be blocked on the next incarnation.
  it('is asked for reports and must confirm a stop also after the task is done', () => {
    const { scheduler } = loseStart();
    const [again] = selectStarts(scheduler.plan(401, 401));
    if (again === undefined) throw new Error('the task does not start again');
    scheduler.handleStartOutcome(again, 'started', 402);
    const end = { number: 1, task: 'a.0.0.0', run: 2, outcome: 'done', checkpoint: '' } as const;
    scheduler.handleReport(again.worker, { ...noRuns, ended: [end] }, 500, 501, 501);
    scheduler.progress.confirmBatch(scheduler.progress.takeBatch());
    report(scheduler, 600, 1);
    expect(scheduler.isReportNeeded(again.worker)).to.equal(true);
    expect(scheduler.plan(601, 601)).to.deep.equal([]);
    scheduler.handleReport(again.worker, { ...noRuns, life: 9 }, 700, 701, 701);
    const [stop] = confirmStops(scheduler, 702);
    expect(stop?.worker.life).to.equal(9);
    expect(scheduler.plan(1500, 1500)).to.deep.equal([]);
    report(scheduler, 12_700, 9);
    expect(scheduler.isReportNeeded(findWorker(scheduler, 'w0'))).to.equal(false);
  });

  // Guards against a gang that is never placed, or placed elsewhere: one of its members may start on one worker only.
  it('gets the member of a gang whose start it may execute late, and the gang waits while it cannot', () => {
    for (const isDraining of [true, false]) {
      const scheduler = new Scheduler(1, 1, 0, bounds);
      scheduler.configure(configuration());
      const reportAll = (now: number): void => {
        for (const each of scheduler.workers) {
          scheduler.handleReport(each, { ...noRuns, clockMs: now }, now, now, now);
          each.extendLease(now);
        }
      };
      for (const id of ['w0', 'w1', 'w2']) scheduler.updateWorker(worker(id), false);
      reportAll(0);
      scheduler.addJob(job('a', [step(2, 9000, { isGang: true })]), 2, 0);
      const [lost, answered] = selectStarts(scheduler.plan(1, 1));
      if (lost === undefined || answered === undefined) throw new Error('the gang does not start');
      scheduler.handleStartOutcome(lost, 'unknown', 100);
      scheduler.handleStartOutcome(answered, 'started', 100);
      expect(confirmStops(scheduler, 101)).to.have.length(2);
      reportAll(400);
      if (isDraining) scheduler.updateWorker(worker(lost.worker.id, { isDraining }), false);
      const again = selectStarts(scheduler.plan(401, 401));
      expect(again).to.have.length(isDraining ? 0 : 2);
      if (!isDraining)
        expect(again.find(({ task }) => task === lost.task)?.worker).to.equal(lost.worker);
      reportAll(12_601);
      expect(selectStarts(scheduler.plan(12_602, 12_602))).to.have.length(isDraining ? 2 : 0);
    }
  });

  // Guards against a second run of a completed task: an acknowledgement that was meant for the earlier incarnation made
  // the next one discard the end of a run with the same number (random simulation, seeds 218 and 278).
  it('gets tasks at once, with a higher fencing token than all commands for the earlier incarnation', () => {
    for (const isAnswered of [true, false]) {
      const { scheduler, command } = startTask();
      const token = command.worker.fence.beginAcknowledgement();
      if (isAnswered) command.worker.fence.endAcknowledgement(token);
      const startToken = command.worker.fence.beginStart();
      expect(startToken > token).to.equal(!isAnswered);
      expect(startToken).to.be.at.least(token);
      scheduler.updateWorker(worker('w0', { life: 9 }), false);
      const next = findWorker(scheduler, 'w0');
      expect(next.fence.token).to.be.above(startToken);
      expect(scheduler.isOvertaken(command.worker, startToken)).to.equal(true);
      expect(scheduler.isOvertaken(next, next.fence.token)).to.equal(false);
      report(scheduler, 60, 9);
      expect(next.canAcceptTasks(61)).to.equal(true);
    }
  });

  // Guards against an acknowledgement that reaches an incarnation which this leader does not know yet.
  it('gets no acknowledgement while a start has no response, or after a response with another clock', () => {
    const { scheduler, command } = startTask();
    const { worker: w0 } = command;
    const end = { number: 1, task: 'b.0.0.0', run: 1, outcome: 'done', checkpoint: '' } as const;
    const acknowledgeable = { ...noRuns, clockMs: 50_000, running: [run], ended: [end] };
    scheduler.handleReport(w0, acknowledgeable, 10, 20, 20);
    scheduler.progress.confirmBatch(scheduler.progress.takeBatch());
    expect(w0.acknowledgement).to.equal(1);
    w0.fence.beginStart();
    expect(w0.acknowledgement).to.equal(0);
    expect(w0.isAcknowledgementDelayed).to.equal(true);
    w0.endStart(50_100, 110, 130);
    expect(w0.acknowledgement).to.equal(1);
    for (const clockMs of [500, 90_000]) {
      w0.fence.beginStart();
      w0.endStart(clockMs, 200, 210);
      expect(w0.acknowledgement).to.equal(0);
      scheduler.handleReport(w0, { ...acknowledgeable, clockMs: 50_200 }, 205, 220, 220);
      expect(w0.acknowledgement).to.equal(0);
      scheduler.handleReport(w0, { ...acknowledgeable, clockMs: 50_200 }, 215, 220, 220);
      expect(w0.acknowledgement).to.equal(1);
    }
  });

  // Guards against a second run while the first is active: the next incarnation executed the start and holds its lease for the
  // longest time from then on, but the leader computed the end of the lease by the clock of the earlier one.
  it('holds the lease of a start that it has executed, counted from the response', () => {
    for (const clockMs of [500, 90_000]) {
      const { scheduler, command } = startTask();
      const { worker: w0 } = command;
      scheduler.handleReport(w0, { ...noRuns, clockMs: 50_000 }, 0, 1, 1);
      w0.fence.beginStart();
      w0.extendLease(10);
      w0.endStart(clockMs, 10, 400);
      expect(w0.leasesExpireAt).to.be.above(400 + 6000);
    }
  });
});
