import type { QuarantinedWorker } from '@toucanline/schema';
import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const whole = { processors: 4, memoryMb: 1, accelerators: 0 };
const teams = ['a', 'b', 'c'];

/** Submits one job of each team at a time; tasks on the bad worker fail. */
const runJobs = (
  model: ShardHarness,
  rounds: number,
  isBad: (worker: string) => boolean,
): number => {
  let failures = 0;
  for (let round = 0; round < rounds; round += 1) {
    for (const team of teams) model.submit({ team, size: whole });
    for (const task of model.step(1000)) {
      const fails = isBad(task.worker);
      if (fails && model.listEvents('workerQuarantined').length === 0) failures += 1;
      model.reportChange(task, fails ? 'failed' : 'succeeded');
    }
  }
  return failures;
};

describe('quarantine', () => {
  // Guards against a worker that fails every task at once and so attracts all waiting work.
  it('isolates a worker that fails everything within ten failures, and releases it when it works', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], room);
    const failures = runJobs(model, 15, (worker) => worker === 'w0');
    expect(new Set(model.listEvents('workerQuarantined'))).to.deep.equal(new Set(['w0']));
    expect(failures).to.be.at.most(10);
    for (let probe = 0; model.listEvents('workerReleased').length === 0 && probe < 60; probe += 1) {
      for (let index = 0; index < 10; index += 1) model.submit({ size: whole });
      for (const task of model.step(2000)) model.reportChange(task, 'succeeded');
    }
    expect(model.listEvents('workerReleased')).to.deep.equal(['w0']);
  });

  // Guards against a probe that uses up the only run of a job.
  it('probes with idempotent work only', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], room);
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
    const model = new ShardHarness([1, 1, 1, 1, 1], room);
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
    const model = new ShardHarness([1, 1, 1, 1, 1], room);
    for (let round = 0; round < 20; round += 1) {
      for (const team of teams) model.submit({ team, size: whole });
      for (let index = 0; index < 4; index += 1) {
        model.submit({ team: 'b', queue: 'batch', command: 'bad', size: whole });
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

  // Guards against a quarantine that takes more of the fleet than the document allows.
  it('isolates at most a fifth of the workers', () => {
    const model = new ShardHarness([1, 1, 1, 1, 1], room);
    runJobs(model, 30, (worker) => worker === 'w0' || worker === 'w1');
    expect(new Set(model.listEvents('workerQuarantined')).size).to.equal(1);
  });
});

describe('quarantine after a change of the owner', () => {
  const speeds = [1, 1, 1, 1, 1];
  const isolate = (worker: string, probes: number, probeAtMs: number): QuarantinedWorker => ({
    worker,
    probes,
    probeAtMs,
  });
  /** Lets time pass while all workers report within their leases. Returns the workers of new starts. */
  const pass = (model: ShardHarness, ms: number): readonly string[] => {
    const started: string[] = [];
    for (let passed = 0; passed < ms; passed += 4000) {
      const stepMs = Math.min(4000, ms - passed);
      started.push(...model.step(stepMs).map(({ worker }) => worker));
    }
    return started;
  };
  /** Starts of as much work as all five workers can take, under names that no former owner used. */
  const startAll = (model: ShardHarness): readonly string[] => {
    for (let index = 0; index < 5; index += 1) model.submit({ id: `next${index}`, size: whole });
    return model.step(100).map(({ worker }) => worker);
  };

  // Guards against a worker that fails everything and gets work again after each handover.
  it('goes on with the snapshot of the former owner, at the same time of the probe', () => {
    const former = new ShardHarness(speeds, room);
    runJobs(former, 15, (worker) => worker === 'w0');
    const [told] = former.shard.describeRoster().quarantined ?? [];
    expect(told).to.include({ worker: 'w0', probes: 1 });
    const stale = { workers: [], quarantined: [isolate('w1', 1, 0)] };
    const next = new ShardHarness(speeds, room, former.shard.createSnapshot(), stale);
    expect(next.shard.describeRoster().quarantined ?? []).to.deep.equal([told]);
    next.clock.nowMs = former.clock.nowMs;
    expect(startAll(next)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    const untilProbeMs = (told?.probeAtMs ?? 0) - next.clock.nowMs;
    expect(pass(next, untilProbeMs - 1)).to.deep.equal([]);
    expect(pass(next, 1)).to.deep.equal(['w0']);
  });

  // Guards against a lost quarantine when the owner was killed, and against intervals that begin anew.
  it('goes on with the record of a killed owner and with the number of the probe', () => {
    const probeAtMs = 1_000_000 + 20_000;
    const quarantined = [isolate('w0', 3, probeAtMs), isolate('gone', 1, probeAtMs)];
    const model = new ShardHarness(speeds, room, undefined, { workers: [], quarantined });
    expect(startAll(model)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    expect(pass(model, 20_000)).to.deep.equal(['w0']);
    for (const task of [...model.running.values()]) {
      model.reportChange(task, task.worker === 'w0' ? 'failed' : 'succeeded');
    }
    // 30 s for the first probe, doubled three times for the fourth.
    const probe = (model.shard.describeRoster().quarantined ?? []).find(
      ({ worker }) => worker === 'w0',
    );
    expect(probe).to.include({ probes: 4, probeAtMs: model.clock.nowMs + 240_000 });
    pass(model, 60_000);
    expect(
      (model.shard.describeRoster().quarantined ?? []).map(({ worker }) => worker),
    ).to.deep.equal(['w0']);
  });

  // Guards against a takeover that empties the fleet, and a probe that a wrong clock puts off for good.
  it('keeps to a fifth of the workers and to the longest interval', () => {
    const quarantined = ['w0', 'w1', 'w2'].map((worker) => isolate(worker, 1, 1e12));
    const model = new ShardHarness(speeds, room, undefined, { workers: [], quarantined });
    expect(startAll(model)).to.have.members(['w1', 'w2', 'w3', 'w4']);
    model.step(100);
    expect(model.listEvents('workerQuarantined')).to.deep.equal(['w0']);
    const [first] = model.shard.describeRoster().quarantined ?? [];
    expect(first?.probeAtMs).to.equal(1_000_000 + 3_600_000);
  });
});
