import { expect } from 'chai';
import type { HttpFault } from '../src/HttpFault.js';
import {
  Caller,
  createDocument,
  Site,
  sleep,
  SteadyLoad,
  waitUntil,
  type DaemonProcess,
} from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const limit = { processors: 12, memoryMb: 100_000, accelerators: 0 };
/** Far below the 15 s of a worker lease, after which a peer could take over without a handover by the owner. */
const maxGapMs = 3000;

describe('graceful shutdowns of a shard owner during a store outage', () => {
  const site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 }, capped: { share: 1, limit } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 4,
    teams: ['broadcast', 'capped'],
  });
  const balanced: DaemonProcess[] = [];
  let requestNumber = 0;
  const chooseUrl = (): string => {
    requestNumber += 1;
    return balanced[requestNumber % balanced.length]?.url ?? '';
  };
  const caller = new Caller(chooseUrl, 'key-broadcast');
  const capped = new Caller(chooseUrl, 'key-capped');
  const starts: number[] = [];
  const startLoad = (): SteadyLoad => {
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 8);
    load.addCallers('roster', caller, 'rosters', 4);
    load.addCallers('capped', capped, 'renders', 4);
    return load;
  };
  const waitForAnswers = async (load: SteadyLoad): Promise<void> => {
    for (const group of ['render', 'roster', 'capped']) {
      const expectedCount = load.countAnswers(group) + 10;
      await waitUntil(
        () => load.countAnswers(group) >= expectedCount,
        25_000,
        `answers to ${group}`,
      );
    }
  };
  const endLoad = async (load: SteadyLoad): Promise<void> => {
    const { answered, refused, failures } = await load.stop();
    console.log(`      answered ${answered}, refused as not run ${refused}`);
    expect(failures).to.deep.equal([]);
  };
  /** Returns the largest interval between starts since a given time, in milliseconds. */
  const measureGap = (from: number): number => {
    let previous = from;
    let gap = 0;
    for (const at of starts.filter((each) => each > from)) {
      gap = Math.max(gap, at - previous);
      previous = at;
    }
    return Math.round(gap);
  };
  /** Stops the owner gracefully during an outage; returns the largest interval between starts, in milliseconds. */
  const stopOwner = async (
    fault: HttpFault,
    outageMs: number,
    load: SteadyLoad,
  ): Promise<number> => {
    const owner = await site.waitForOwner(15_000);
    site.store.setFault(fault);
    await sleep(outageMs);
    const stoppedAt = performance.now();
    owner.signal('SIGTERM');
    expect(await owner.exit).to.equal(0);
    site.hostList.remove(owner.settings.process);
    await waitForAnswers(load);
    const gapMs = measureGap(stoppedAt);
    console.log(`      largest interval between starts: ${gapMs} ms`);
    expect(owner.log.join('\n')).to.include('claimHandedOver');
    return gapMs;
  };

  before(async () => {
    await site.start();
    balanced.push(...site.entries);
    site.monitor.setLimits(new Map([['capped', limit]]));
    const recordStart = site.monitor.recordStart.bind(site.monitor);
    site.monitor.recordStart = (worker, assignment): void => {
      starts.push(performance.now());
      recordStart(worker, assignment);
    };
  });
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('let a peer take over at once, with limits, running tasks and outcomes', async () => {
    // Guards against a peer that waits for the worker leases of an owner that announced its stop, and against
    // an outcome that is lost or repeated when the store is reachable again.
    const load = startLoad();
    const specification = { size, command: 'sleep 7000; echo kept', detached: 'yes' } as const;
    const detached = (await caller.submit('rosters', specification)).view.id;
    const attached = caller.submit('rosters', { size, command: 'sleep 8000; echo roster' });
    await waitUntil(() => site.monitor.countStarts(detached) === 1, 5000, 'the roster runs');
    const gapMs = await stopOwner('down', 4500, load);
    expect(gapMs).to.be.lessThan(maxGapMs);
    expect((await attached).view.output).to.deep.equal(['roster']);
    const ended = await caller.wait(detached, 10);
    expect(ended.view.output, JSON.stringify(ended.view)).to.deep.equal(['kept']);
    site.store.setFault('none');
    await waitUntil(() => site.readOwner() !== '', 10_000, 'the shard is claimed in the store');
    await waitForAnswers(load);
    await endLoad(load);
    expect((await caller.wait(detached, 10)).view.output).to.deep.equal(['kept']);
    expect(site.monitor.countStarts(detached)).to.equal(1);
  });

  it('let a peer take over when the store stopped responding just before', async () => {
    // Guards against a peer that waits for a claim that the stopped owner could not release.
    const load = startLoad();
    const gapMs = await stopOwner('hang', 500, load);
    expect(gapMs).to.be.lessThan(10_000);
    site.store.setFault('none');
    await waitUntil(() => site.readOwner() !== '', 10_000, 'the shard is claimed in the store');
    await waitForAnswers(load);
    await endLoad(load);
  });
});
