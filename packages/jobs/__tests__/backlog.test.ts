import { expect } from 'chai';
import { EligibleWorkers } from '../src/EligibleWorkers.js';
import { PlanningWindow } from '../src/PlanningWindow.js';
import type { PendingStep } from '../src/PendingStep.js';
import { Scheduler, type Command } from '../src/index.js';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';
import { schedulingLimits } from '../src/schedulingLimits.js';

const { configuration, job, queue, step, worker } = fixtures;

const { maxFirstSteps, maxFurtherSteps } = schedulingLimits;

/** Load pattern: a backlog of wide steps on a full fleet, far larger than what can start within one pass. */
describe('a backlog', () => {
  const pending = Array.from(
    { length: 500 },
    (_, index) => ({ jobDeadline: index }) as PendingStep,
  );

  // Guards against planning passes whose cost grows with the backlog: on 380 workers with 1,000 waiting steps a pass
  // took a quarter of a second, in which the leader neither renewed its lease nor handled a report.
  it('is examined in bounded parts, the first steps in each pass and every other one in turn', () => {
    const window = new PlanningWindow();
    const seen = new Set<PendingStep>();
    const passes = Math.ceil((pending.length - maxFirstSteps) / maxFurtherSteps);
    for (let pass = 0; pass < passes; pass += 1) {
      const selected = window.select(pending);
      expect(selected.length).to.be.at.most(maxFirstSteps + maxFurtherSteps);
      expect(selected.slice(0, maxFirstSteps)).to.deep.equal(pending.slice(0, maxFirstSteps));
      for (const each of selected) seen.add(each);
    }
    expect(seen.size).to.equal(pending.length);
    const few = pending.slice(0, maxFirstSteps + maxFurtherSteps);
    expect(window.select(few)).to.equal(few);
  });

  // Guards against urgent steps that wait for passes of 60 ms, in which a leader with two thirds of a core examined all
  // other steps of the backlog.
  it('is examined in smaller parts while passes take long, and still as a whole', () => {
    const window = new PlanningWindow();
    for (let pass = 0; pass < 20; pass += 1) window.recordDuration(schedulingLimits.longPassMs * 2);
    const seen = new Set<PendingStep>();
    for (let pass = 0; pass < 40; pass += 1) {
      const selected = window.select(pending);
      expect(selected.length).to.be.at.most((maxFirstSteps + maxFurtherSteps) / 4);
      expect(selected[0]).to.equal(pending[0]);
      for (const each of selected) seen.add(each);
    }
    expect(seen.size).to.equal(pending.length);
    for (let pass = 0; pass < 20; pass += 1) window.recordDuration(1);
    expect(window.select(pending)).to.have.length(maxFirstSteps + maxFurtherSteps);
  });

  // Guards against small tasks that wait behind large ones although there is room that only they can use.
  it('leaves no room unused that a step far behind can use', () => {
    const simulation = new LoadSimulation(configuration(), [worker('w1')], () => 1);
    simulation.submit(0, job('full', [step(1, 15_000)]), () => 60_000);
    for (let number = 0; number < 400; number += 1) {
      const early = { acceptedAtMs: 0 };
      simulation.submit(10, job(`large${number}`, [step(1, 2000)], early), () => 1000);
    }
    simulation.submit(20, job('small', [step(1, 500)]), () => 100);
    simulation.run(2000);
    expect(simulation.finishedAt('small')).to.be.below(500);
  });

  it('groups the workers once for all steps with the same needs', () => {
    const scheduler = new Scheduler(1, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    scheduler.configure(configuration());
    const labels = ['b', 'r1-2'];
    for (const entry of [worker('w1'), worker('w2', { labels }), worker('w3', { service: 'x' })]) {
      const added = scheduler.updateWorker(entry, false);
      const report = { life: 1, clockMs: 0, running: [], ended: [] };
      if (added !== undefined) scheduler.handleReport(added, report, 0, 0, 0);
    }
    const eligible = new EligibleWorkers(scheduler.workers, 1);
    const find = (requiredLabel?: string): ReturnType<EligibleWorkers['find']> =>
      eligible.find({
        step: { description: { requiredLabel } },
        queue: queue('batch'),
      } as unknown as PendingStep);
    expect(find().workers.map(({ id }) => id)).to.deep.equal(['w1', 'w2']);
    expect(find('b').workers.map(({ id }) => id)).to.deep.equal(['w2']);
    expect(find('b')).to.equal(find('b'));
    expect(find('c').maxFree.milliProcessors).to.equal(0);
  });
});

/** Load pattern: many waiting steps with permits on a full fleet, on which each verdict costs a call. */
describe('permits on a full fleet', () => {
  const advice = { baseMs: 20, perWorkerMs: 0.3, validMs: 2000 };
  const site = configuration({ queues: [queue('batch', { advice })] });
  const fleet = Array.from({ length: 100 }, (_, index) => worker(`w${index}`));

  const createFullFleet = (): Scheduler => {
    const scheduler = new Scheduler(1, 10, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    scheduler.configure(configuration({ queues: [queue('full'), queue('batch', { advice })] }));
    for (const entry of fleet) {
      const added = scheduler.updateWorker(entry, false);
      const report = { life: 1, clockMs: 0, running: [], ended: [] };
      if (added !== undefined) scheduler.handleReport(added, report, 0, 0, 0);
    }
    scheduler.addJob(job('full', [step(100, 16_000)], { queue: 'full' }), 11, 0);
    scheduler.plan(1, 1);
    return scheduler;
  };

  const selectAdvice = (commands: readonly Command[]): readonly Command[] =>
    commands.filter(({ kind }) => kind === 'advise');

  // Guards against requests for verdicts on all workers of a full fleet, which keep the advice service busy and bring
  // no task to a start.
  it('are requested until a step has a choice, and for further workers only where it fits', () => {
    const scheduler = createFullFleet();
    scheduler.addJob(job('a', [step(4, 4000)]), 12, 2);
    const [first] = selectAdvice(scheduler.plan(3, 3));
    if (first?.kind !== 'advise') throw new Error('no permits were requested');
    const permits = first.workers.map(({ id }) => ({ workerId: id, permit: 'p' }));
    scheduler.handlePermits(first, permits, 4, 2000);
    const verdicts = new Set(first.workers);
    const later = selectAdvice(scheduler.plan(5, 5));
    for (const command of later)
      if (command.kind === 'advise')
        for (const each of command.workers) expect(verdicts.has(each)).to.equal(true);
  });

  // Guards against requests for all workers of the fleet on behalf of a step that is not ready yet: on 274 workers
  // each second step of a stop lookup made up to eight calls where one gave it 20 allowed workers.
  it('are requested for a coming step until it has a choice', () => {
    const scheduler = createFullFleet();
    const coming = [step(1, 1000, { estimateMs: 10 }), step(2, 1000, { dependsOn: [0] })];
    scheduler.addJob(job('a', coming, { queue: 'batch' }), 12, 2);
    const [free] = scheduler.workers;
    if (free === undefined) throw new Error('the fleet has no worker');
    const running = [{ task: 'a.0.0.0', run: 1, checkpoint: '', percent: 50, load: 0 }];
    scheduler.handleReport(free, { life: 1, clockMs: 3, running, ended: [] }, 3, 3, 3);
    let calls = 0;
    for (let now = 10; now < 600; now += 10) {
      for (const command of selectAdvice(scheduler.plan(now, now))) {
        if (command.kind !== 'advise' || command.stepKey !== 'a.0.1') continue;
        calls += 1;
        const permits = command.workers.map(({ id }) => ({ workerId: id, permit: 'p' }));
        scheduler.handlePermits(command, permits, now, 2000);
      }
    }
    expect(calls).to.equal(1);
  });

  // Guards against a request for each single worker whose permit has expired: with a base duration of 340 ms they kept
  // all channels to the advice service busy on a fleet of 245 workers.
  it('are renewed for further allowed workers where that costs little', () => {
    const scheduler = createFullFleet();
    scheduler.addJob(job('a', [step(4, 16_000)]), 12, 2);
    const [first] = selectAdvice(scheduler.plan(3, 3));
    if (first?.kind !== 'advise') throw new Error('no permits were requested');
    const permits = first.workers.map(({ id }) => ({ workerId: id, permit: 'p' }));
    scheduler.handlePermits(first, permits, 4, 100);
    const [renewal] = selectAdvice(scheduler.plan(500, 500));
    if (renewal?.kind !== 'advise') throw new Error('no permits were renewed');
    expect(renewal.workers.length).to.be.above(4 + 10);
    expect(renewal.expectedMs).to.be.below(advice.baseMs * 1.4);
  });

  it('reach a worker that becomes free outside of the first choice', () => {
    const simulation = new LoadSimulation(
      site,
      fleet,
      () => 1,
      (id) => Number(id.slice(1)) % 3 === 0,
    );
    simulation.submit(0, job('a', [step(60, 16_000)]), () => 500);
    simulation.run(6000);
    expect(simulation.finishedAt('a')).to.be.below(4000);
  });
});
