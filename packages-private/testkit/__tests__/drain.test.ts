import { expect } from 'chai';
import type { DrainState } from '@toucanline/schema';
import { Caller, createDocument, FaultProxy, Site, type WorkerFake } from '../src/index.js';

const document = createDocument(['dc1'], { broadcast: { share: 1 } });
/** Reads the name of the connecting process from the first frame of a link. */
const readProcessName = (firstChunk: Buffer): string =>
  /[es]\d-dc1/.exec(firstChunk.toString('latin1'))?.[0] ?? '';

describe("an operator's drain under faults", () => {
  const links = new Map<string, FaultProxy>();
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 2,
    teams: ['broadcast'],
    proxyScheduler: async (address, process) => {
      const proxy = new FaultProxy(() => address, readProcessName);
      links.set(process, proxy);
      await proxy.start();
      return proxy.address;
    },
  });
  const operators = [0, 1].map((index) => new Caller(() => site.entries[index]?.url ?? ''));

  const findWorker = (index: number): WorkerFake => {
    const worker = site.workers[index];
    if (worker === undefined) throw new Error(`the site has no worker ${index}`);
    return worker;
  };
  const send = (index: 0 | 1, worker: WorkerFake): ReturnType<Caller['send']> => {
    const operator = operators[index];
    const path = `/v1/workers/${worker.options.id}/drain`;
    if (operator === undefined) throw new Error('no operator');
    return operator.send('POST', path, undefined, site.operatorHeaders);
  };
  const drain = async (index: 0 | 1, worker: WorkerFake): Promise<DrainState> => {
    const answer = await send(index, worker);
    expect(answer.status, JSON.stringify(answer.problem)).to.equal(200);
    site.monitor.recordLeaving(worker.options.id);
    return answer.view as unknown as DrainState;
  };
  /** Sets a fault on the links that the first entry opens. */
  const setEntryFault = (fault: 'none' | 'silence' | 'blackhole'): void => {
    for (const proxy of links.values()) {
      proxy.setFaults((client) => (client === 'e0-dc1' ? fault : 'none'));
    }
  };
  before(() => site.start());
  after(async () => {
    await site.stop();
    for (const proxy of links.values()) proxy.stop();
  });
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('reaches the owner although the link of the entry has become silent', async () => {
    // Guards against a drain that is answered with unknownWorker because its call was lost.
    const worker = findWorker(0);
    setEntryFault('silence');
    const sentAt = performance.now();
    const { durable } = await drain(0, worker);
    console.log(`      answered after ${Math.round(performance.now() - sentAt)} ms`);
    expect(durable).to.equal(true);
    setEntryFault('none');
  });

  it('is answered with an unknown outcome while no link of the entry works, and succeeds at another entry', async () => {
    // Guards against a definite answer about a worker whose owner could not be reached.
    const worker = findWorker(1);
    setEntryFault('blackhole');
    const { status, problem } = await send(0, worker);
    expect([status, problem.title, problem.ran]).to.deep.equal([504, 'timeout', 'unknown']);
    await drain(1, worker);
    setEntryFault('none');
  });
});
