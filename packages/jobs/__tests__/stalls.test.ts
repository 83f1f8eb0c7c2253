import { expect } from 'chai';
import { Scheduler } from '../src/index.js';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';

const { configuration, job, room, step, worker } = fixtures;

const fleet = [0, 1, 2, 3].map((number) =>
  worker(`w${number}`, { capacity: room(16_000, 64_000) }),
);

describe('a worker with stalled tasks', () => {
  // Pattern: workers respond, but their tasks make no progress (`srv_grey`, hang). Guards against jobs that wait for
  // them forever, and against new tasks that are placed there although none ever completes.
  it('loses its tasks to other workers and gets few new ones', () => {
    const model = new LoadSimulation(configuration(), fleet, () => 1);
    model.stallTasks('w1');
    const ids = [...Array(60).keys()].map((number) => `j${number}`);
    ids.forEach((id, number) => {
      const record = job(id, [step(4, 1500, { estimateMs: 500 })], { queue: 'urgent' });
      model.submit(number * 150, record, () => 500);
    });
    model.run(20_000);
    for (const id of ids) expect(model.finishedAt(id), id).to.be.finite;
    // An even distribution would start a quarter of all tasks there; less than an eighth is allowed.
    expect(model.countStarts('w1')).to.be.below((60 * 4) / 8);
  });

  // Guards against stopping tasks that are only slow.
  it('is distinguished from a slow worker', () => {
    const model = new LoadSimulation(configuration(), fleet, () => 6);
    model.submit(0, job('slow', [step(4, 1500, { estimateMs: 500 })]), () => 1500);
    model.run(12_000);
    expect(model.finishedAt('slow')).to.be.finite;
    const starts = fleet.reduce((sum, { id }) => sum + model.countStarts(id), 0);
    expect(starts).to.equal(4);
  });

  // Guards against tasks that are stopped because their reports are late although the worker responds to other calls,
  // as with an overloaded leader.
  it('is distinguished from a worker without a report yet', () => {
    const scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    scheduler.configure(configuration());
    const w0 = scheduler.updateWorker(worker('w0'), false);
    if (w0 === undefined) throw new Error('updateWorker returned no new worker');
    scheduler.handleReport(w0, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    scheduler.addJob(job('a', [step(1, 1500, { estimateMs: 500 })]), 2, 0);
    const [command] = scheduler.plan(1, 1);
    if (command?.kind !== 'start') throw new Error('the plan has no start command');
    w0.extendLease(1);
    scheduler.handleStartOutcome(command, 'started', 5);
    w0.recordContact(2500, 2500);
    expect(scheduler.plan(2501, 2501)).to.deep.equal([]);
  });
});
