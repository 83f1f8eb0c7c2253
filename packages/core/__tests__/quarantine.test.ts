import { expect } from 'chai';
import { ShardModel } from './ShardModel.js';

const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const whole = { processors: 4, memoryMb: 1, accelerators: 0 };
const teams = ['a', 'b', 'c'];

/** Submits one job of each team at a time; tasks on the bad worker fail. */
const runJobs = (model: ShardModel, rounds: number, isBad: (worker: string) => boolean): number => {
  let failures = 0;
  for (let round = 0; round < rounds; round += 1) {
    for (const team of teams) model.submit({ team, size: whole });
    for (const task of model.step(1000)) {
      const fails = isBad(task.worker);
      if (fails && model.listEvents('workerQuarantined').length === 0) failures += 1;
      model.change(task, fails ? 'failed' : 'succeeded');
    }
  }
  return failures;
};

describe('quarantine', () => {
  // Guards against a worker that fails every task at once and so attracts all waiting work.
  it('isolates a worker that fails everything within ten failures, and releases it when it works', () => {
    const model = new ShardModel([1, 1, 1, 1, 1], room);
    const failures = runJobs(model, 15, (worker) => worker === 'w0');
    expect(new Set(model.listEvents('workerQuarantined'))).to.deep.equal(new Set(['w0']));
    expect(failures).to.be.at.most(10);
    for (let probe = 0; model.listEvents('workerReleased').length === 0 && probe < 60; probe += 1) {
      for (let index = 0; index < 10; index += 1) model.submit({ size: whole });
      for (const task of model.step(2000)) model.change(task, 'succeeded');
    }
    expect(model.listEvents('workerReleased')).to.deep.equal(['w0']);
  });

  // Guards against a probe that uses up the only run of a job.
  it('probes with idempotent work only', () => {
    const model = new ShardModel([1, 1, 1, 1, 1], room);
    runJobs(model, 15, (worker) => worker === 'w0');
    for (let seconds = 0; seconds < 60; seconds += 5) model.step(5000);
    for (let index = 0; index < 6; index += 1) model.submit({ size: whole, idempotent: false });
    const places = model.step(100).map(({ worker }) => worker);
    expect([...places].sort()).to.deep.equal(['w1', 'w2', 'w3', 'w4']);
    model.submit({ size: whole });
    expect(model.step(100).map(({ worker }) => worker)).to.deep.equal(['w0']);
  });

  // Guards against probes that keep failing jobs at the first rate.
  it('doubles the interval between probes', () => {
    const model = new ShardModel([1, 1, 1, 1, 1], room);
    runJobs(model, 15, (worker) => worker === 'w0');
    runJobs(model, 200, (worker) => worker === 'w0');
    const delays = model.recorder
      .list(0)
      .filter(({ name }) => name === 'workerQuarantined')
      .map(({ detail }) => Number(/in (\d+) s/.exec(detail ?? '')?.[1]));
    expect(delays.length).to.be.within(2, 4);
    expect(delays).to.deep.equal(delays.map((_, index) => 30 * 2 ** index));
  });

  // Guards against a bad job that empties the fleet: it fails wherever it runs.
  it('isolates no worker for bad jobs', () => {
    const model = new ShardModel([1, 1, 1, 1, 1], room);
    for (let round = 0; round < 20; round += 1) {
      for (const team of teams) model.submit({ team, size: whole });
      for (let index = 0; index < 4; index += 1) {
        model.submit({ team: 'b', queue: 'batch', command: 'bad', size: whole });
      }
      for (let turn = 0; turn < 4; turn += 1) {
        for (const task of model.step(500)) {
          const isBad = task.assignment.request.command === 'bad';
          model.change(task, isBad ? 'failed' : 'succeeded');
        }
      }
    }
    expect(model.listEvents('workerQuarantined')).to.deep.equal([]);
  });

  // Guards against a quarantine that takes more of the fleet than the document allows.
  it('isolates at most a fifth of the workers', () => {
    const model = new ShardModel([1, 1, 1, 1, 1], room);
    runJobs(model, 30, (worker) => worker === 'w0' || worker === 'w1');
    expect(new Set(model.listEvents('workerQuarantined')).size).to.equal(1);
  });
});
