import type { RunEnd } from '@toucanline/schema';
import { expect } from 'chai';
import { findViolations, Scheduler, type Command } from '../src/index.js';
import { fixtures } from './fixtures.js';

const { configuration, job, queue, room, step, worker } = fixtures;

type StartCommand = Extract<Command, { kind: 'start' }>;
const selectStarts = (commands: readonly Command[]): readonly StartCommand[] =>
  commands.filter((command): command is StartCommand => command.kind === 'start');

/** Creates the scheduler of a leader whose workers are surveyed and idle. */
const createScheduler = (
  workers: readonly ReturnType<typeof worker>[],
  site = configuration(),
): Scheduler => {
  const scheduler = new Scheduler(1, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
  scheduler.configure(site);
  for (const entry of workers) {
    const added = scheduler.updateWorker(entry, false);
    if (added === undefined) throw new Error('updateWorker returned no new worker');
    const report = { life: entry.life, clockMs: 0, running: [], ended: [] };
    scheduler.handleReport(added, report, 0, 0, 0);
  }
  return scheduler;
};

const confirm = (scheduler: Scheduler, commands: readonly Command[], now: number): void => {
  for (const command of selectStarts(commands)) {
    command.worker.extendLease(now);
    scheduler.handleStartOutcome(command, 'started', now);
  }
};

describe('placing tasks', () => {
  // Guards against an overcommitted worker.
  it('fills a worker up to its capacity and no further', () => {
    const scheduler = createScheduler([worker('w1')]);
    scheduler.addJob(job('a', [step(20, 1500)]), 11, 0);
    expect(selectStarts(scheduler.plan(1, 1))).to.have.length(10);
  });

  // Guards against a step that starts before the steps that it depends on are done.
  it('starts a step once all its dependencies are done', () => {
    const scheduler = createScheduler([worker('w1')]);
    scheduler.addJob(job('a', [step(2, 100), step(1, 100, { dependsOn: [0] })]), 11, 0);
    const first = scheduler.plan(1, 1);
    expect(selectStarts(first).map(({ task }) => task.name)).to.deep.equal(['a.0.0.0', 'a.0.0.1']);
    confirm(scheduler, first, 2);
    const [w1] = scheduler.workers;
    if (w1 === undefined) throw new Error('the scheduler has no worker');
    const end = (number: number, task: string) =>
      ({ number, task, run: 1, outcome: 'done', checkpoint: '' }) as const;
    const one = { life: 1, clockMs: 5, running: [], ended: [end(1, 'a.0.0.0')] };
    scheduler.handleReport(w1, { ...one, running: [run('a.0.0.1')] }, 4, 5, 5);
    expect(selectStarts(scheduler.plan(6, 6))).to.have.length(0);
    scheduler.handleReport(w1, { ...one, ended: [...one.ended, end(2, 'a.0.0.1')] }, 7, 8, 8);
    expect(selectStarts(scheduler.plan(9, 9)).map(({ task }) => task.name)).to.deep.equal([
      'a.0.1.0',
    ]);
  });

  // Guards against a gang that occupies some workers while it waits for others, and against one that fits on no worker
  // and blocks the gangs behind it.
  it('starts all tasks of a gang or none, with one run number', () => {
    const scheduler = createScheduler([worker('w1')]);
    scheduler.addJob(job('a', [step(3, 8000, { isGang: true })]), 11, 0);
    expect(selectStarts(scheduler.plan(1, 1))).to.have.length(0);
    scheduler.addJob(job('b', [step(2, 8000, { isGang: true })]), 12, 0);
    const runs = selectStarts(scheduler.plan(2, 2)).map(({ run: number }) => number);
    expect(runs).to.deep.equal([1, 1]);
  });

  // Guards against an account that exceeds its cap when many workers are free.
  it('starts no tasks beyond the cap of an account', () => {
    const cap = room(5000, 0, 0);
    const site = configuration({ accounts: [{ name: 'planning', weight: 1, keys: [], cap }] });
    const scheduler = createScheduler([worker('w1'), worker('w2')], site);
    scheduler.addJob(job('a', [step(20, 1500)]), 11, 0);
    expect(selectStarts(scheduler.plan(1, 1))).to.have.length(0);
    fixtures.storeAllowances(scheduler);
    expect(selectStarts(scheduler.plan(2, 2))).to.have.length(3);
  });

  // Guards against invariant checks that detect nothing: starts on an overcommitted and suspended worker must be
  // reported.
  it('is verified independently of the planner', () => {
    const scheduler = createScheduler([worker('w1')]);
    scheduler.addJob(job('a', [step(2, 8000)]), 11, 0);
    const commands = scheduler.plan(1, 1);
    expect(findViolations(commands)).to.deep.equal([]);
    const [w1] = scheduler.workers;
    w1?.setStrayResources(room(1, 0, 0));
    w1?.suspend();
    const rules = findViolations(commands).map(({ rule }) => rule);
    expect(rules).to.deep.equal(['room', 'suspension', 'room', 'suspension']);
  });

  it('respects labels and the maximum number of tasks per worker', () => {
    const scheduler = createScheduler([
      worker('w1'),
      worker('w2', { labels: ['b'] }),
      worker('w3'),
    ]);
    scheduler.addJob(job('a', [step(6, 100, { requiredLabel: 'a', maxPerWorker: 2 })]), 11, 0);
    const used = selectStarts(scheduler.plan(1, 1)).map(({ worker: { id } }) => id);
    expect(used.sort()).to.deep.equal(['w1', 'w1', 'w3', 'w3']);
  });

  // Guards against serving tasks that miss their latency targets because of opportunistic tasks on the same worker.
  it('keeps opportunistic and serving tasks on different workers', () => {
    const scheduler = createScheduler([worker('w1'), worker('w2')]);
    scheduler.addJob(job('a', [step(1, 100, { latencyTargetMs: 50 })]), 11, 0);
    scheduler.addJob(job('b', [step(4, 100, { isOpportunistic: true })]), 12, 0);
    const byJob = new Map(
      selectStarts(scheduler.plan(1, 1)).map(({ task, worker: { id } }) => [task.step.job.id, id]),
    );
    expect(byJob.get('a')).not.to.equal(byJob.get('b'));
  });

  // Pattern: a stream of small tasks on a busy service (map-render) starves a task that needs a whole worker
  // (route-optimise, where 5 of 34 jobs never completed).
  it('reserves the capacity of a worker for a large task that waits', () => {
    const scheduler = createScheduler([worker('w1')]);
    scheduler.addJob(job('small', [step(8, 2000)]), 11, 0);
    const first = scheduler.plan(1, 1);
    confirm(scheduler, first, 2);
    scheduler.addJob(job('large', [step(1, 16_000)], { queue: 'urgent' }), 12, 2);
    scheduler.plan(3, 3);
    scheduler.addJob(job('more', [step(8, 2000)]), 13, 4);
    const [w1] = scheduler.workers;
    if (w1 === undefined) throw new Error('the scheduler has no worker');
    const running = selectStarts(first).map(({ task }) => run(task.name));
    const [ended, ...rest] = running;
    const end = { ...doneEnd, task: ended?.task ?? '' };
    const report = { life: 1, clockMs: 6, running: rest, ended: [end] };
    scheduler.handleReport(w1, report, 5, 6, 6);
    expect(selectStarts(scheduler.plan(7, 7))).to.have.length(0);
  });

  // Pattern: a burst of urgent work on a full fleet (stop-lookup at twice its usual rate).
  it('preempts only tasks with checkpoints for urgent work', () => {
    const scheduler = createScheduler([worker('w1'), worker('w2')]);
    scheduler.addJob(job('kept', [step(2, 8000)]), 11, 0);
    scheduler.addJob(job('saved', [step(2, 8000, { hasCheckpoints: true })]), 12, 0);
    confirm(scheduler, scheduler.plan(1, 1), 2);
    scheduler.addJob(job('urgent', [step(1, 1500)], { queue: 'urgent' }), 13, 1000);
    const stopped = scheduler
      .plan(1000, 1000)
      .flatMap((command) => (command.kind === 'stop' ? [command.task.step.job.id] : []));
    expect(stopped).to.deep.equal(['saved']);
  });

  // Pattern: one account submits seven times its usual rate (hot tenant). Guards against jobs of other accounts that
  // wait behind the excess.
  it('serves jobs within the entitled rate before the excess of one account', () => {
    const accounts = [
      { name: 'planning', weight: 1, keys: [] },
      { name: 'broadcast', weight: 1, keys: [] },
    ];
    const scheduler = createScheduler([worker('w1')], configuration({ accounts }));
    for (let number = 0; number < 12; number += 1) {
      scheduler.addJob(job(`flood${number}`, [step(1, 4000)]), 11, 0);
    }
    scheduler.addJob(job('other', [step(1, 4000)], { account: 'broadcast' }), 12, 5);
    const next = selectStarts(scheduler.plan(6, 6)).map(({ task }) => task.step.job.id);
    expect(next).to.include('other');
  });

  // Pattern: large tasks that the policy allows on few workers (flyover-render: a third of nine). Guards against a step
  // with several workers that takes the only worker of another step, which then waits until the task ends.
  it('leaves a worker to the step that has no alternative', () => {
    const advice = { baseMs: 100, perWorkerMs: 1, validMs: 2000 };
    const site = configuration({ queues: [queue('batch', { advice })] });
    const scheduler = createScheduler([worker('w1'), worker('w2')], site);
    scheduler.addJob(job('choice', [step(1, 16_000)]), 11, 0);
    scheduler.addJob(job('tied', [step(1, 16_000)]), 12, 1);
    for (const command of scheduler.plan(2, 2)) {
      if (command.kind !== 'advise') continue;
      const allowed = command.stepKey.startsWith('choice') ? ['w1', 'w2'] : ['w1'];
      const permits = allowed.map((workerId) => ({ workerId, permit: 'p' }));
      scheduler.handlePermits(command, permits, 100, 2000);
    }
    const placed = selectStarts(scheduler.plan(101, 101));
    const places = placed.map(({ task, worker: { id } }) => [task.step.job.id, id]);
    expect(places).to.have.deep.members([
      ['choice', 'w2'],
      ['tied', 'w1'],
    ]);
  });

  // Guards against a request for permits on each pass, and against starts without a permit.
  it('requests permits once and starts only where they allow it', () => {
    const advice = { baseMs: 100, perWorkerMs: 1, validMs: 2000 };
    const site = configuration({ queues: [queue('batch', { advice })] });
    const scheduler = createScheduler([worker('w1'), worker('w2')], site);
    scheduler.addJob(job('a', [step(2, 100)]), 11, 0);
    const [request, ...others] = scheduler.plan(1, 1);
    if (request?.kind !== 'advise') throw new Error('the plan has no request for permits');
    expect(others).to.deep.equal([]);
    expect(scheduler.plan(2, 2)).to.deep.equal([]);
    scheduler.handlePermits(request, [{ workerId: 'w2', permit: 'p' }], 100, 2000);
    const placed = selectStarts(scheduler.plan(101, 101));
    expect(placed.map(({ worker: { id }, permit }) => [id, permit])).to.deep.equal([
      ['w2', 'p'],
      ['w2', 'p'],
    ]);
  });
});

const doneEnd: RunEnd = { number: 1, task: '', run: 1, outcome: 'done', checkpoint: '' };

const run = (task: string) => ({ task, run: 1, checkpoint: '', percent: 0, load: 0 });
