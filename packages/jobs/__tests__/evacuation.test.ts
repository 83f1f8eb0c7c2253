import type { JobRecord, RunEnd, WorkerEntry } from '@toucanline/schema';
import { expect } from 'chai';
import { Scheduler, type Command, type Worker } from '../src/index.js';
import { fixtures } from './fixtures.js';

const { configuration, job, queue, step, worker } = fixtures;

type StartCommand = Extract<Command, { kind: 'start' }>;
const selectStarts = (commands: readonly Command[]): readonly StartCommand[] =>
  commands.filter((command): command is StartCommand => command.kind === 'start');
/** Lists where tasks start, as `job@worker`. */
const listPlaces = (commands: readonly Command[]): readonly string[] =>
  selectStarts(commands).map(({ task, worker: { id } }) => `${task.step.job.id}@${id}`);

/** Creates the scheduler of a leader whose workers are surveyed and idle. */
const createScheduler = (
  workers: readonly WorkerEntry[],
  site = configuration(),
): { readonly scheduler: Scheduler; readonly find: (id: string) => Worker } => {
  const scheduler = new Scheduler(1, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
  scheduler.configure(site);
  for (const entry of workers) {
    const added = scheduler.updateWorker(entry, false);
    if (added === undefined) throw new Error('updateWorker returned no new worker');
    scheduler.handleReport(added, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
  }
  const find = (id: string): Worker => {
    const found = scheduler.workers.find((each) => each.id === id);
    if (found === undefined) throw new Error(`the scheduler has no worker ${id}`);
    return found;
  };
  return { scheduler, find };
};

/** Confirms the starts of a pass and reports the tasks as running. */
const run = (scheduler: Scheduler, commands: readonly Command[], now: number): void => {
  const starts = selectStarts(commands);
  for (const command of starts) {
    command.worker.extendLease(now);
    scheduler.handleStartOutcome(command, 'started', now);
  }
  for (const each of new Set(starts.map(({ worker: target }) => target))) {
    const running = [...each.tasks].map((task) => ({
      task: task.name,
      run: task.run,
      checkpoint: '',
      percent: 1,
      load: 0,
    }));
    const report = { life: 1, clockMs: now, running, ended: [] };
    scheduler.handleReport(each, report, now, now, now);
  }
};

const end = (
  scheduler: Scheduler,
  target: Worker,
  outcome: RunEnd['outcome'],
  now: number,
): void => {
  const ended = [...target.tasks].map((task, index): RunEnd => ({
    number: index + 1,
    task: task.name,
    run: task.run,
    outcome,
    checkpoint: task.step.description.hasCheckpoints === true ? 'half' : '',
  }));
  scheduler.handleReport(target, { life: 1, clockMs: now, running: [], ended }, now, now, now);
};

const dc1 = worker('w1');
const dc2 = worker('w2', { dataCentre: 'dc2' });

describe('the evacuation of a data centre', () => {
  const records: readonly (readonly [string, JobRecord])[] = [
    ['a task', job('a', [step(1, 1000)])],
    ['a gang', job('a', [step(2, 8000, { isGang: true })])],
    [
      'an occurrence',
      job('a', [], {
        specification: {
          payload: '',
          steps: [step(1, 1000)],
          schedule: { firstDueMs: 1, intervalMs: 1e6, occurrences: 2 },
        },
      }),
    ],
  ];
  for (const [kind, record] of records) {
    // Guards against a start on an evacuated worker, also if there is no other.
    it(`places ${kind} only elsewhere, or not at all`, () => {
      for (const others of [[], [dc2]]) {
        const { scheduler } = createScheduler([dc1, ...others]);
        scheduler.evacuations.begin('dc1');
        scheduler.addJob(record, 11, 0);
        const places = new Set(listPlaces(scheduler.plan(2, 2)));
        expect([...places]).to.deep.equal(others.map(({ id }) => `a@${id}`));
        scheduler.evacuations.end('dc1');
        scheduler.evacuations.begin('dc2');
        expect(selectStarts(scheduler.plan(3, 3)).length > 0).to.equal(others.length === 0);
      }
    });
  }

  // Guards against retries and resumed tasks that return to the worker on which they ran before.
  it('lets a failed or interrupted task run again only elsewhere', () => {
    for (const outcome of ['failed', 'lapsed'] as const) {
      const { scheduler, find } = createScheduler([dc1]);
      scheduler.addJob(job('a', [step(1, 1000, { hasCheckpoints: true })]), 11, 0);
      run(scheduler, scheduler.plan(1, 1), 2);
      scheduler.evacuations.begin('dc1');
      end(scheduler, find('w1'), outcome, 10);
      expect(scheduler.plan(11, 11)).to.deep.equal([]);
      const added = scheduler.updateWorker(dc2, false);
      if (added === undefined) throw new Error('the worker is not new');
      const report = { life: 1, clockMs: 0, running: [], ended: [] };
      scheduler.handleReport(added, report, 12, 12, 12);
      // The step is blocked and is examined again after a while.
      const [start] = selectStarts(scheduler.plan(600, 600));
      expect(start?.worker.id).to.equal('w2');
      if (outcome === 'lapsed') expect(start?.task.checkpoint).to.equal('half');
    }
  });

  // Guards against an evacuation that stops what runs, including work that could be preempted elsewhere.
  it('lets running tasks continue, and preempts nothing there for urgent work', () => {
    const { scheduler, find } = createScheduler([dc1]);
    scheduler.addJob(job('long', [step(1, 8000, { isLongRunning: true })]), 11, 0);
    scheduler.addJob(job('saved', [step(1, 8000, { hasCheckpoints: true })]), 12, 0);
    run(scheduler, scheduler.plan(1, 1), 2);
    scheduler.evacuations.begin('dc1');
    scheduler.addJob(job('urgent', [step(1, 1500)], { queue: 'urgent' }), 13, 1000);
    expect(scheduler.plan(1000, 1000)).to.deep.equal([]);
    expect(find('w1').tasks.size).to.equal(2);
    scheduler.evacuations.end('dc1');
    expect(scheduler.plan(1001, 1001).map(({ kind }) => kind)).to.deep.equal(['stop']);
  });

  // Guards against two evacuations of which one is lost, and against one that ends together with the other.
  it('holds for each of several data centres until that one is withdrawn', () => {
    const dc3 = worker('w3', { dataCentre: 'dc3' });
    const { scheduler } = createScheduler([dc1, dc2, dc3]);
    for (const dataCentre of ['dc1', 'dc2']) scheduler.evacuations.begin(dataCentre);
    scheduler.addJob(job('a', [step(1, 16_000)]), 11, 0);
    expect(listPlaces(scheduler.plan(1, 1))).to.deep.equal(['a@w3']);
    scheduler.evacuations.end('dc2');
    scheduler.addJob(job('b', [step(2, 16_000)]), 12, 2);
    expect(listPlaces(scheduler.plan(3, 3))).to.deep.equal(['b@w2']);
  });

  // Guards against starts while another data centre may have been evacuated, and against stops that wait for that.
  it('starts nothing anywhere while the list of data centres is not confirmed', () => {
    const { scheduler } = createScheduler([dc1, dc2]);
    scheduler.addJob(job('done', [step(1, 1000)]), 11, 0);
    run(scheduler, scheduler.plan(1, 1), 2);
    scheduler.evacuations.setConfirmed(false);
    scheduler.addJob(job('a', [step(1, 1000)]), 12, 2);
    scheduler.addJob(job('done', [step(1, 1000)], { isCancelled: true }), 11, 2);
    expect(scheduler.plan(3, 3).map(({ kind }) => kind)).to.deep.equal(['stop']);
    scheduler.evacuations.setConfirmed(true);
    expect(selectStarts(scheduler.plan(4, 4))).to.have.length(1);
  });

  // Guards against gangs and labelled steps that reserve the workers which they cannot use, so that others wait as well.
  it('makes steps that fit only there wait without reservations, and names them once', () => {
    const site = configuration({ queues: [queue('batch'), queue('urgent', { priority: 0 })] });
    const { scheduler } = createScheduler([worker('w1', { labels: ['r9-1'] }), dc2], site);
    scheduler.evacuations.begin('dc1');
    const gang = step(2, 16_000, { isGang: true });
    scheduler.addJob(job('gang', [gang], { queue: 'urgent' }), 11, 0);
    scheduler.addJob(job('rack', [step(1, 100, { requiredLabel: 'r9-1' })]), 12, 0);
    scheduler.addJob(job('never', [step(1, 32_000)]), 13, 0);
    scheduler.addJob(job('small', [step(16, 1000)]), 14, 1);
    const places = listPlaces(scheduler.plan(2, 2));
    expect(places).to.deep.equal(Array<string>(16).fill('small@w2'));
    const listAdded = (): readonly string[] =>
      scheduler.blockedSteps.takeAdded().map(({ job: { id } }) => id);
    expect(listAdded()).to.have.members(['gang', 'rack']);
    scheduler.plan(1000, 1000);
    expect(listAdded()).to.deep.equal([]);
    expect(scheduler.blockedSteps.count).to.equal(2);
    scheduler.evacuations.end('dc1');
    scheduler.plan(1001, 1001);
    expect(scheduler.blockedSteps.count).to.equal(0);
  });

  // Guards against blocked steps that fill the planning window, so that the steps behind them are not examined.
  it('keeps blocked steps out of the planning window', () => {
    const { scheduler } = createScheduler([worker('w1', { labels: ['x'] }), dc2]);
    scheduler.evacuations.begin('dc1');
    for (let number = 0; number < 400; number += 1) {
      const record = job(`blocked${number}`, [step(1, 100, { requiredLabel: 'x' })]);
      scheduler.addJob(record, 11, 0);
    }
    for (let now = 1; now < 10; now += 1) scheduler.plan(now, now);
    expect(scheduler.blockedSteps.count).to.equal(400);
    scheduler.addJob(job('other', [step(1, 100)]), 12, 10);
    expect(listPlaces(scheduler.plan(11, 11))).to.deep.equal(['other@w2']);
  });

  // Guards against calls of the advice service whose permits cannot be used.
  it('requests permits neither for its workers nor for steps that wait for its end', () => {
    const advice = { baseMs: 100, perWorkerMs: 1, validMs: 2000 };
    const site = configuration({ queues: [queue('batch', { advice })] });
    const { scheduler } = createScheduler([dc1, dc2], site);
    scheduler.evacuations.begin('dc1');
    scheduler.addJob(job('a', [step(1, 100)]), 11, 0);
    scheduler.addJob(job('gang', [step(2, 16_000, { isGang: true })]), 12, 0);
    const requests = scheduler
      .plan(1, 1)
      .flatMap((command) =>
        command.kind === 'advise'
          ? [[command.stepKey, ...command.workers.map(({ id }) => id)]]
          : [],
      );
    expect(requests).to.deep.equal([['a.0.0', 'w2']]);
    const [request] = scheduler.plan(2, 2);
    expect(request).to.equal(undefined);
  });

  // Guards against a lease that lets a delayed start run after the bound: on a worker whose clock is 2% slow, or was read
  // long ago.
  it('limits the lease of a start also on a worker with a slow clock', () => {
    const { find } = createScheduler([dc1]);
    const rate = 0.98;
    for (const elapsedMs of [0, 1000, 20_000]) {
      const leaseUntilMs = find('w1').extendLease(elapsedMs, 4000);
      expect(leaseUntilMs).to.be.at.most((elapsedMs + 4000) * rate);
      expect(leaseUntilMs).to.be.above(elapsedMs * 1.02 + 3000);
    }
    expect(find('w1').extendLease(1000)).to.equal(1000 + 6000 * 0.98);
  });
});

describe('placement on cold workers', () => {
  const cold = worker('cold', { dataCentre: 'dc2', coldLeftMs: 20_000 });
  const warm = worker('warm');

  // Guards against work that is due soon on a worker where it takes twice as long.
  it('places urgent work on warm workers first, and uses cold ones when these are full', () => {
    const { scheduler } = createScheduler([cold, warm]);
    scheduler.addJob(job('a', [step(1, 12_000)], { queue: 'urgent' }), 11, 0);
    scheduler.addJob(job('b', [step(1, 12_000)], { queue: 'urgent' }), 12, 1);
    expect(listPlaces(scheduler.plan(2, 2))).to.deep.equal(['a@warm', 'b@cold']);
  });

  // Guards against a data centre that gets all work at once when its evacuation is withdrawn, because it is free.
  it('fills warm workers before those of a data centre that has returned to use', () => {
    const { scheduler } = createScheduler([cold, warm]);
    scheduler.evacuations.begin('dc2');
    scheduler.plan(1, 1);
    scheduler.evacuations.end('dc2');
    scheduler.addJob(job('b', [step(8, 1000)]), 12, 3);
    expect(new Set(listPlaces(scheduler.plan(4, 4)))).to.deep.equal(new Set(['b@warm']));
  });

  // Guards against workers that count as cold for ever, or again when an unchanged entry is read again.
  it('counts a worker as warm after its time, whatever its entry says', () => {
    for (const [now, place] of [
      [19_000, 'a@warm'],
      [20_002, 'a@cold'],
    ] as const) {
      const { scheduler } = createScheduler([cold, warm]);
      scheduler.plan(1, 1);
      scheduler.updateWorker({ ...cold }, false);
      scheduler.addJob(job('a', [step(1, 1000)]), 11, now);
      expect(listPlaces(scheduler.plan(now, now))).to.deep.equal([place]);
    }
  });

  // Guards against another order of workers on sites whose entries have no cold workers.
  it('changes nothing for workers without that time', () => {
    const placeAll = (workers: readonly WorkerEntry[]): readonly string[] => {
      const { scheduler } = createScheduler(workers);
      scheduler.addJob(job('a', [step(30, 1500)]), 11, 0);
      scheduler.addJob(job('b', [step(5, 500)], { queue: 'urgent' }), 12, 0);
      return listPlaces(scheduler.plan(1, 1));
    };
    const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => worker(id));
    const isWarm = workers.map((entry) => ({ ...entry, coldLeftMs: 0 }));
    expect(placeAll(isWarm)).to.deep.equal(placeAll(workers));
  });
});
