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
const capacity = { processors: 8, memoryMb: 32_768, accelerators: 0 };
/** Time within which a leaving worker gets its last task and ends it. */
const graceMs = 3000;
const taskMs = 150;

/** Reads the name of the connecting process from the first frame of a link. */
const readProcessName = (firstChunk: Buffer): string =>
  /[es]\d-dc1/.exec(firstChunk.toString('latin1'))?.[0] ?? '';

describe('leaving workers while the links of the site are silent or cut', () => {
  const linkProxies = new Map<string, FaultProxy>();
  const workerProxies = new Map<string, FaultProxy>();
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 0,
    teams: ['broadcast'],
    proxyScheduler: async (address, process) => {
      const proxy = new FaultProxy(() => address, readProcessName);
      linkProxies.set(process, proxy);
      await proxy.start();
      return proxy.address;
    },
  });
  const callers = [0, 1].map(
    (index) => new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast'),
  );

  /** Adds a worker that the schedulers reach through a proxy. */
  const addWorker = async (id: string): Promise<WorkerFake> => {
    const worker = await site.addWorker('dc1', id, 'rack0', capacity);
    const proxy = new FaultProxy(() => worker.address);
    await proxy.start();
    workerProxies.set(id, proxy);
    site.hostList.put({ ...worker.hostRecord, address: proxy.address });
    return worker;
  };
  const findWorker = (index: number): WorkerFake => {
    const worker = site.workers[index];
    if (worker === undefined) throw new Error(`the site has no worker ${index}`);
    return worker;
  };
  const putState = (worker: WorkerFake, state: 'live' | 'leaving'): void => {
    const address = workerProxies.get(worker.options.id)?.address ?? '';
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
    const expectedCount = read() + count;
    return waitUntil(() => read() >= expectedCount, 20_000, `${count} answers`);
  };
  /** Keeps all workers busy while a worker leaves under a fault of the links, and for some time after. */
  const checkLeaving = async (
    worker: WorkerFake,
    startLeaving: () => Promise<void> | void,
  ): Promise<void> => {
    const load = startLoad();
    await waitUntil(() => worker.runningCount > 0, 10_000, `work on ${worker.options.id}`);
    const before = performance.now();
    await startLeaving();
    const endsAt = performance.now() + 2 * graceMs;
    // The monitor checks each start command, so the load has to go on during that time.
    await waitUntil(() => performance.now() > endsAt, 3 * graceMs, 'the end of the observed time');
    for (const proxy of [...linkProxies.values(), ...workerProxies.values()])
      proxy.setFault('none');
    await waitForAnswers(load, 50);
    const { answered, failures } = await load.stop();
    const tookMs = Math.round(performance.now() - before);
    console.log(`      ${answered} answers, leaving began ${tookMs} ms before the end`);
    expect(failures).to.deep.equal([]);
    expect(worker.runningCount, `work on ${worker.options.id}`).to.equal(0);
  };

  before(async () => {
    await site.start();
    for (let index = 0; index < 6; index += 1) await addWorker(`w${index}-dc1`);
  });
  after(async () => {
    await site.stop();
    for (const proxy of [...linkProxies.values(), ...workerProxies.values()]) proxy.stop();
  });
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('get no new task after a change of the host list while the links between processes are silent', async () => {
    // Guards against requests that are resubmitted after a broken link and go to a worker that has left meanwhile.
    const worker = findWorker(0);
    await checkLeaving(worker, () => {
      for (const proxy of linkProxies.values()) proxy.setFault('silence');
      site.monitor.recordLeaving(worker.options.id);
      putState(worker, 'leaving');
    });
  });

  it('get no new task after a change of the host list while all links are cut', async () => {
    // Guards against an owner that stops updating its view of the workers because its links are cut.
    const worker = findWorker(1);
    await checkLeaving(worker, async () => {
      for (const proxy of linkProxies.values()) proxy.setFault('cut');
      site.monitor.recordLeaving(worker.options.id);
      putState(worker, 'leaving');
      await waitUntil(() => worker.runningCount === 0, graceMs + 1000, 'the last work ends');
      for (const proxy of linkProxies.values()) proxy.setFault('none');
    });
  });

  it('get no new task after their refusal while their connection to the owner is silent', async () => {
    // Guards against an owner that waits for a lost report of a leaving worker while the host list lags.
    const worker = findWorker(2);
    await checkLeaving(worker, () => {
      workerProxies.get(worker.options.id)?.setFault('silence');
      worker.startLeaving();
    });
  });
});
