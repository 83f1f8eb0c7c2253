import type { QuarantinedWorker } from '@toucanline/schema';
import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const totalCapacity = { processors: 4, memoryMb: 4, accelerators: 0 };
const wholeWorker = { processors: 4, memoryMb: 1, accelerators: 0 };
const teams = ['a', 'b', 'c'];

/**
 * Submits one job of each team per round; tasks on bad workers fail. Returns the number of failures before the first
 * quarantine.
 */
const runJobs = (
  model: ShardHarness,
  rounds: number,
  isBad: (worker: string) => boolean,
): number => {
  let failures = 0;
  for (let round = 0; round < rounds; round += 1) {
    for (const team of teams) model.submit({ team, size: wholeWorker });
    for (const task of model.step(1000)) {
      const fails = isBad(task.worker);
      if (fails && model.listEvents('workerQuarantined').length === 0) failures += 1;
      model.reportChange(task, fails ? 'failed' : 'succeeded');
    }
  }
  return failures;
};

describe('quarantine', () => {
  // Guards against a worker that fails every task immediately and so attracts all waiting work.
  it('isolates a worker that fails every task within ten failures, and releases it when it works again', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], totalCapacity);
    const failures = runJobs(model, 15, (worker) => worker === 'w0');
    expect(new Set(model.listEvents('workerQuarantined'))).to.deep.equal(new Set(['w0']));
    expect(failures).to.be.at.most(10);
    for (let probe = 0; model.listEvents('workerReleased').length === 0 && probe < 60; probe += 1) {
      for (let index = 0; index < 10; index += 1) model.submit({ size: wholeWorker });
      for (const task of model.step(2000)) model.reportChange(task, 'succeeded');
    }
    expect(model.listEvents('workerReleased')).to.deep.equal(['w0']);
  });

  // Guards against a probe that uses up the only run of a job that is not idempotent.
  it('probes with idempotent work only', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], totalCapacity);
    runJobs(model, 15, (worker) => worker === 'w0');
    for (let seconds = 0; seconds < 60; seconds += 5) model.step(5000);
    for (let index = 0; index < 6; index += 1)
      model.submit({ size: wholeWorker, idempotent: false });
    const places = model.step(100).map(({ worker }) => worker);
    expect([...places].sort()).to.deep.equal(['w1', 'w2', 'w3', 'w4']);
    model.submit({ size: wholeWorker });
    expect(model.step(100).map(({ worker }) => worker)).to.deep.equal(['w0']);
  });

  // Guards against probes that keep making jobs fail at a constant rate.
  it('doubles the interval between probes', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], totalCapacity);
    runJobs(model, 15, (worker) => worker === 'w0');
    runJobs(model, 200, (worker) => worker === 'w0');
    const delays = model.recorder
      .list(0)
      .filter(({ name }) => name === 'workerQuarantined')
      .map(({ detail }) => Number(/in (\d+) s/.exec(detail ?? '')?.[1]));
    expect(delays.length).to.be.within(2, 4);
    expect(delays).to.deep.equal(delays.map((_, index) => 30 * 2 ** index));
  });

  // Guards against a bad job, which fails on every worker, that puts the whole fleet into quarantine.
  it('isolates no worker for bad jobs', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], totalCapacity);
    for (let round = 0; round < 20; round += 1) {
      for (const team of teams) model.submit({ team, size: wholeWorker });
      for (let index = 0; index < 4; index += 1) {
        model.submit({ team: 'b', queue: 'batch', command: 'bad', size: wholeWorker });
      }
      for (let turn = 0; turn < 4; turn += 1) {
        for (const task of model.step(500)) {
          const isBad = task.assignment.request.command === 'bad';
          model.reportChange(task, isBad ? 'failed' : 'succeeded');
        }
      }
    }
    expect(model.listEvents('workerQuarantined')).to.deep.equal([]);
  });

  // Guards against more workers in quarantine than the document allows.
  it('isolates at most a fifth of the workers', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], totalCapacity);
    runJobs(model, 30, (worker) => worker === 'w0' || worker === 'w1');
    expect(new Set(model.listEvents('workerQuarantined')).size).to.equal(1);
  });
});

describe('quarantine after a change of owner', () => {
  const speeds = [1, 1, 1, 1, 1];
  const createEntry = (worker: string, probes: number, probeAtMs: number): QuarantinedWorker => ({
    worker,
    probes,
    probeAtMs,
  });
  /** Advances the time while all workers report within their leases. Returns the workers of started tasks. */
  const advance = (model: ShardHarness, ms: number): readonly string[] => {
    const started: string[] = [];
    for (let passed = 0; passed < ms; passed += 4000) {
      const stepMs = Math.min(4000, ms - passed);
      started.push(...model.step(stepMs).map(({ worker }) => worker));
    }
    return started;
  };
  /** Starts as much work as fits on all five workers, with new request ids. Returns the workers of started tasks. */
  const startAll = (model: ShardHarness): readonly string[] => {
    for (let index = 0; index < 5; index += 1)
      model.submit({ id: `next${index}`, size: wholeWorker });
    return model.step(100).map(({ worker }) => worker);
  };

  // Guards against a worker that fails every task and gets work again after each handover.
  it('continues from the snapshot of the previous owner, with the same time of the next probe', () => {
    const previous = new ShardHarness(speeds, totalCapacity);
    runJobs(previous, 15, (worker) => worker === 'w0');
    const [entry] = previous.shard.describeRoster().quarantined ?? [];
    expect(entry).to.include({ worker: 'w0', probes: 1 });
    const stale = { workers: [], quarantined: [createEntry('w1', 1, 0)] };
    const next = new ShardHarness(speeds, totalCapacity, previous.shard.createSnapshot(), stale);
    expect(next.shard.describeRoster().quarantined ?? []).to.deep.equal([entry]);
    next.clock.nowMs = previous.clock.nowMs;
    expect(startAll(next)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    const untilProbeMs = (entry?.probeAtMs ?? 0) - next.clock.nowMs;
    expect(advance(next, untilProbeMs - 1)).to.deep.equal([]);
    expect(advance(next, 1)).to.deep.equal(['w0']);
  });

  // Guards against a quarantine that is lost when the owner is killed, and against delays that start over.
  it('continues from the record of a killed owner, with the same number of probes', () => {
    const probeAtMs = 1_000_000 + 20_000;
    const quarantined = [createEntry('w0', 3, probeAtMs), createEntry('gone', 1, probeAtMs)];
    const model = new ShardHarness(speeds, totalCapacity, undefined, { workers: [], quarantined });
    expect(startAll(model)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    expect(advance(model, 20_000)).to.deep.equal(['w0']);
    for (const task of [...model.running.values()]) {
      model.reportChange(task, task.worker === 'w0' ? 'failed' : 'succeeded');
    }
    // The delay is 30 s for the first probe and doubles three times until the fourth.
    const probe = (model.shard.describeRoster().quarantined ?? []).find(
      ({ worker }) => worker === 'w0',
    );
    expect(probe).to.include({ probes: 4, probeAtMs: model.clock.nowMs + 240_000 });
    advance(model, 60_000);
    expect(
      (model.shard.describeRoster().quarantined ?? []).map(({ worker }) => worker),
    ).to.deep.equal(['w0']);
  });

  // Guards against a takeover that puts the whole fleet into quarantine, and a probe that a wrong clock delays forever.
  it('respects the largest fraction of workers and the longest delay', () => {
    const quarantined = ['w0', 'w1', 'w2'].map((worker) => createEntry(worker, 1, 1e12));
    const model = new ShardHarness(speeds, totalCapacity, undefined, { workers: [], quarantined });
    expect(startAll(model)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    model.step(100);
    expect(model.listEvents('workerQuarantined')).to.deep.equal(['w0']);
    const [first] = model.shard.describeRoster().quarantined ?? [];
    expect(first?.probeAtMs).to.equal(1_000_000 + 3_600_000);
  });
});
