import { expect } from 'chai';
import { Scheduler } from '../src/index.js';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';

const { configuration, job, room, step, worker } = fixtures;

const fleet = [0, 1, 2, 3].map((number) =>
  worker(`w${number}`, { capacity: room(16_000, 64_000) }),
);

describe('a worker whose tasks stand still', () => {
  // Pattern: workers answer, but their tasks make no progress (`srv_grey`, hang). Guards against jobs that wait for them,
  // and against new tasks that go there because nothing ever ends.
  it('loses its tasks to others and gets no new ones', () => {
    const model = new LoadSimulation(configuration(), fleet, () => 1);
    model.stallTasks('w1');
    const ids = [...Array(60).keys()].map((number) => `j${number}`);
    ids.forEach((id, number) => {
      const record = job(id, [step(4, 1500, { estimateMs: 500 })], { queue: 'urgent' });
      model.submit(number * 150, record, () => 500);
    });
    model.run(20_000);
    for (const id of ids) expect(model.finishedAt(id), id).to.be.finite;
    // A quarter of all tasks would go there.
    expect(model.countStarts('w1')).to.be.below((60 * 4) / 8);
  });

  // Guards against stopping work that is only slow.
  it('is told from one that is slow', () => {
    const model = new LoadSimulation(configuration(), fleet, () => 6);
    model.submit(0, job('slow', [step(4, 1500, { estimateMs: 500 })]), () => 1500);
    model.run(12_000);
    expect(model.finishedAt('slow')).to.be.finite;
    const starts = fleet.reduce((sum, { id }) => sum + model.countStarts(id), 0);
    expect(starts).to.equal(4);
  });

  // Guards against work that is stopped because its reports are late while the worker answers other calls, as with an
  // overloaded leader.
  it('is told from one of which nothing was reported yet', () => {
    const scheduler = new Scheduler(1, 1, 0, 200);
    scheduler.configure(configuration());
    const w0 = scheduler.updateWorker(worker('w0'), false);
    if (w0 === undefined) throw new Error('the worker is known');
    scheduler.handleReport(w0, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    scheduler.addJob(job('a', [step(1, 1500, { estimateMs: 500 })]), 2, 0);
    const [order] = scheduler.plan(1, 1);
    if (order?.kind !== 'start') throw new Error('nothing was started');
    w0.extendLease(1);
    scheduler.handleStartOutcome(order, 'started', 5);
    w0.recordContact(2500, 2500);
    expect(scheduler.plan(2501, 2501)).to.deep.equal([]);
  });
});
