import { expect } from 'chai';
import {
  Caller,
  createDocument,
  FaultProxy,
  Site,
  SteadyLoad,
  waitUntil,
  type WorkerFake,
} from '../src/index.js';

const document = createDocument(['dc1'], { broadcast: { share: 1 } });
const room = { processors: 8, memoryMb: 32_768, accelerators: 0 };
/** Time within which a leaving worker gets its last work, and a task of the load ends. */
const graceMs = 3000;
const taskMs = 150;

/** Finds the name of the process that dials in its introduction. */
const readProcess = (first: Buffer): string =>
  /[es]\d-dc1/.exec(first.toString('latin1'))?.[0] ?? '';

describe('leaving workers while the links of the site are silent or cut', () => {
  const links = new Map<string, FaultProxy>();
  const paths = new Map<string, FaultProxy>();
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 0,
    teams: ['broadcast'],
    proxyScheduler: async (address, process) => {
      const proxy = new FaultProxy(() => address, readProcess);
      links.set(process, proxy);
      await proxy.start();
      return proxy.address;
    },
  });
  const callers = [0, 1].map(
    (index) => new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast'),
  );

  /** Adds a worker that the schedulers reach through a proxy. */
  const addWorker = async (id: string): Promise<WorkerFake> => {
    const worker = await site.addWorker('dc1', id, 'rack0', room);
    const proxy = new FaultProxy(() => worker.address);
    await proxy.start();
    paths.set(id, proxy);
    site.hostList.put({ ...worker.hostRecord, address: proxy.address });
    return worker;
  };
  const findWorker = (index: number): WorkerFake => {
    const worker = site.workers[index];
    if (worker === undefined) throw new Error(`the site has no worker ${index}`);
    return worker;
  };
  const putState = (worker: WorkerFake, state: 'live' | 'leaving'): void => {
    const address = paths.get(worker.options.id)?.address ?? '';
    site.hostList.put({ ...worker.hostRecord, state, address });
  };
  const startLoad = (): SteadyLoad => {
    const load = new SteadyLoad(site);
    callers.forEach((caller, index) => {
      load.addCallers(`e${index}`, caller, 'renders', 16, taskMs);
    });
    return load;
  };
  const waitForAnswers = (load: SteadyLoad, count: number): Promise<void> => {
    const read = (): number => load.countAnswers('e0') + load.countAnswers('e1');
    const wanted = read() + count;
    return waitUntil(() => read() >= wanted, 20_000, `${count} answers`);
  };
  /** Keeps the fleet full while a worker leaves and the links are faulty, and for a while after. */
  const leave = async (worker: WorkerFake, tell: () => Promise<void> | void): Promise<void> => {
    const load = startLoad();
    await waitUntil(() => worker.runningCount > 0, 10_000, `work on ${worker.options.id}`);
    const before = performance.now();
    await tell();
    const endsAt = performance.now() + 2 * graceMs;
    // The ledger judges each start; the load has to go on for its check to mean anything.
    await waitUntil(() => performance.now() > endsAt, 3 * graceMs, 'the time to watch');
    for (const proxy of [...links.values(), ...paths.values()]) proxy.setFault('none');
    await waitForAnswers(load, 50);
    const { answered, failures: faults } = await load.stop();
    const tookMs = Math.round(performance.now() - before);
    console.log(`      ${answered} answers, left ${tookMs} ms before the end`);
    expect(faults).to.deep.equal([]);
    expect(worker.runningCount, `work on ${worker.options.id}`).to.equal(0);
  };

  before(async () => {
    await site.start();
    for (let index = 0; index < 6; index += 1) await addWorker(`w${index}-dc1`);
  });
  after(async () => {
    await site.stop();
    for (const proxy of [...links.values(), ...paths.values()]) proxy.stop();
  });
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('get nothing new after the host list while the links between processes are silent', async () => {
    // Guards against requests that are resubmitted after a dead link to a worker that left meanwhile.
    const worker = findWorker(0);
    await leave(worker, () => {
      for (const proxy of links.values()) proxy.setFault('silence');
      site.monitor.recordLeaving(worker.options.id);
      putState(worker, 'leaving');
    });
  });

  it('get nothing new after the host list while all links are cut', async () => {
    // Guards against an owner that takes a cut link for a reason to keep its view of the fleet.
    const worker = findWorker(1);
    await leave(worker, async () => {
      for (const proxy of links.values()) proxy.setFault('cut');
      site.monitor.recordLeaving(worker.options.id);
      putState(worker, 'leaving');
      await waitUntil(() => worker.runningCount === 0, graceMs + 1000, 'the last work ends');
      for (const proxy of links.values()) proxy.setFault('none');
    });
  });

  it('get nothing new after their refusal while their connection to the owner is silent', async () => {
    // Guards against an owner that waits for the lost report of a leaving worker, while the host list lags.
    const worker = findWorker(2);
    await leave(worker, () => {
      paths.get(worker.options.id)?.setFault('silence');
      worker.startLeaving();
    });
  });
});
