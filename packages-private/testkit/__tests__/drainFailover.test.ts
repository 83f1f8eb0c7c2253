import { expect } from 'chai';
import type { DrainState } from '@toucanline/schema';
import {
  Caller,
  createDocument,
  Site,
  SteadyLoad,
  waitUntil,
  type DaemonProcess,
  type WorkerFake,
} from '../src/index.js';

const document = createDocument(['dc1'], { broadcast: { share: 1 } });
/** Time during which the load continues: that within which a drained worker gets its last task, and a margin. */
const watchMs = 4000;

describe("an operator's drain and a new owner", () => {
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 5,
    teams: ['broadcast'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
  const operator = new Caller(() => site.entries[0]?.url ?? '');

  const findWorker = (index: number): WorkerFake => {
    const worker = site.workers[index];
    if (worker === undefined) throw new Error(`the site has no worker ${index}`);
    return worker;
  };
  const findOwner = (): DaemonProcess => {
    const owner = site.findOwner();
    if (owner === undefined) throw new Error('no owner');
    return owner;
  };
  const waitForNewOwner = (previous: DaemonProcess): Promise<void> =>
    waitUntil(
      () => !['', previous.settings.process].includes(site.readOwner()),
      15_000,
      'a peer owns the shard',
    );
  const send = (worker: WorkerFake, method: 'POST' | 'DELETE'): ReturnType<Caller['send']> =>
    operator.send(
      method,
      `/v1/workers/${worker.options.id}/drain`,
      undefined,
      site.operatorHeaders,
    );
  const drain = async (worker: WorkerFake): Promise<void> => {
    const answer = await send(worker, 'POST');
    expect(answer.status, JSON.stringify(answer.problem)).to.equal(200);
    expect((answer.view as unknown as DrainState).durable).to.equal(true);
    site.monitor.recordLeaving(worker.options.id);
  };
  const withLoad = async (run: () => Promise<void>): Promise<void> => {
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 40);
    await waitUntil(() => load.countAnswers('render') > 20, 10_000, 'the load runs');
    await run();
    const endsAt = performance.now() + watchMs;
    const wanted = load.countAnswers('render') + 20;
    const isOver = (): boolean =>
      performance.now() > endsAt && load.countAnswers('render') >= wanted;
    await waitUntil(isOver, 20_000, 'the load continues');
    const { answered, failures } = await load.stop();
    console.log(`      answered ${answered}`);
    expect(failures).to.deep.equal([]);
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('remains in effect after a failover and a handover, and so does its end', async () => {
    // Guards against a drain that is held only in the memory of the owner.
    const [drained, returned] = [findWorker(0), findWorker(1)];
    await drain(returned);
    await withLoad(async () => {
      await drain(drained);
      const killed = findOwner();
      killed.signal('SIGKILL');
      await waitForNewOwner(killed);
    });
    expect([drained.runningCount, returned.runningCount]).to.deep.equal([0, 0]);
    expect((await send(returned, 'DELETE')).status).to.equal(200);
    site.monitor.recordReturned(returned.options.id);
    await withLoad(async () => {
      const replaced = findOwner();
      replaced.signal('SIGTERM');
      expect(await replaced.exit).to.equal(0);
      await waitForNewOwner(replaced);
      await waitUntil(() => returned.runningCount > 0, 10_000, 'the worker takes work again');
    });
    expect(drained.runningCount).to.equal(0);
  });
});
