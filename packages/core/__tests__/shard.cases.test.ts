import { expect } from 'chai';
import { SiteSimulation, type Submission } from './SiteSimulation.js';

const convergenceMs = 90_000;

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

const run = (steps: (simulation: SiteSimulation) => void): void => {
  const simulation = new SiteSimulation(0);
  simulation.advance(1000);
  steps(simulation);
  simulation.heal();
  simulation.advance(convergenceMs);
  expect(simulation.checker.violations).to.deep.equal([]);
  expect(simulation.unanswered, 'requests without an answer').to.deep.equal([]);
  expect(simulation.orphans, 'tasks without a request').to.deep.equal([]);
  expect(simulation.phantomCount, 'tasks that only the owner counts').to.equal(0);
};

// Minimal failing cases of the random test, each with the seed that found it.
describe('a shard in failing cases that the random test found', () => {
  // Seed 1: the next owner learns of the cancellation only from the report of the worker, in which
  // the model workers include it.
  it('does not start a cancelled service again after a failover', () => {
    run((simulation) => {
      simulation.submit(create('service', { processors: 2 }));
      simulation.cancel(0);
      simulation.submit(create('service', { processors: 3, tasks: 3, detached: true }));
      simulation.advance(3201);
      simulation.failOver();
    });
  });

  // Seeds 2 and 4: without its deadline, an adopted service waits for ever after its worker has
  // restarted.
  it('ends an adopted service whose worker restarts after its deadline', () => {
    run((simulation) => {
      simulation.submit(create('service', { processors: 3 }));
      simulation.advance(101);
      simulation.failOver();
      simulation.submit(create('service', { tasks: 2, detached: true }));
      simulation.advance(2551);
      simulation.reboot(1);
      simulation.submit(create('service', { processors: 3, tasks: 2, detached: true }));
    });
  });

  // Seed 3: the new owner accepted the duplicate first, and the tasks of the original request kept
  // running beside the tasks of the duplicate.
  it('counts tasks of a request as tasks of its duplicate under the next owner', () => {
    run((simulation) => {
      simulation.submit(create('service', { tasks: 2, key: 2 }));
      simulation.failOver();
      simulation.submit(create('service', { key: 2, detached: true }));
      simulation.setStoreUp(false);
    });
  });

  // Seed 4: the entry did not know of the cancellation and submitted the request to the next owner.
  it('starts no request that was answered as cancelled and not run', () => {
    run((simulation) => {
      simulation.submit(create('service', { key: 0, detached: true }));
      simulation.failOver();
      simulation.submit(create('service', { key: 0 }));
      simulation.cancel(15);
      simulation.resubmit(0);
      simulation.failOver();
      simulation.cancel(0);
    });
  });
});
