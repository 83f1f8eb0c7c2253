import { expect } from 'chai';
import { SiteSimulation, type Submission } from './SiteSimulation.js';

const settleMs = 90_000;

const create = (queue: Submission['queue'], fields: Partial<Submission> = {}): Submission => ({
  queue,
  processors: 1,
  tasks: 1,
  runTimeMs: 50,
  fails: true,
  key: undefined,
  detached: false,
  deadlineMs: 2000,
  ...fields,
});

const run = (steps: (site: SiteSimulation) => void): void => {
  const site = new SiteSimulation(0);
  site.advance(1000);
  steps(site);
  site.heal();
  site.advance(settleMs);
  expect(site.checker.violations).to.deep.equal([]);
  expect(site.unanswered, 'requests without an answer').to.deep.equal([]);
  expect(site.orphans, 'tasks without a request').to.deep.equal([]);
  expect(site.phantomCount, 'tasks that only the owner counts').to.equal(0);
};

// Shrunk cases of the random test, each with the seed that found it.
describe('a shard in cases that the random test found', () => {
  // Seed 1: the next owner must learn of the cancellation from the worker, as the model workers now report.
  it('does not start a cancelled service again after a failover', () => {
    run((site) => {
      site.submit(create('service', { processors: 2 }));
      site.cancel(0);
      site.submit(create('service', { processors: 3, tasks: 3, detached: true }));
      site.advance(3201);
      site.failOver();
    });
  });

  // Seeds 2 and 4: an adopted service without a deadline waited for ever after its worker restarted.
  it('ends an adopted service whose worker restarts after its deadline', () => {
    run((site) => {
      site.submit(create('service', { processors: 3 }));
      site.advance(101);
      site.failOver();
      site.submit(create('service', { tasks: 2, detached: true }));
      site.advance(2551);
      site.reboot(1);
      site.submit(create('service', { processors: 3, tasks: 2, detached: true }));
    });
  });

  // Seed 3: tasks of the first request ran on beside those of its repeat, which the new owner took first.
  it('counts tasks of a request as those of its repeat under the next owner', () => {
    run((site) => {
      site.submit(create('service', { tasks: 2, key: 2 }));
      site.failOver();
      site.submit(create('service', { key: 2, detached: true }));
      site.setStoreUp(false);
    });
  });

  // Seed 4: the entry did not know of the cancellation and handed the request in to the next owner.
  it('starts no request that was answered as cancelled and not run', () => {
    run((site) => {
      site.submit(create('service', { key: 0, detached: true }));
      site.failOver();
      site.submit(create('service', { key: 0 }));
      site.cancel(15);
      site.resubmit(0);
      site.failOver();
      site.cancel(0);
    });
  });
});
