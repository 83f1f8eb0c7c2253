import { expect } from 'chai';
import {
  Caller,
  createDocument,
  DaemonProcess,
  findFreePort,
  Site,
  sleep,
  SteadyLoad,
  waitUntil,
} from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const nowhere = 'http://127.0.0.1:1';

describe('pairs of faults with real processes', () => {
  const site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 }, leaver: { share: 1 } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 3,
    teams: ['broadcast', 'leaver'],
  });
  /** Entries behind the load balancer. */
  const balanced: DaemonProcess[] = [];
  let requestNumber = 0;
  const chooseUrl = (): string => {
    requestNumber += 1;
    return balanced[requestNumber % balanced.length]?.url ?? '';
  };
  const caller = new Caller(chooseUrl, 'key-broadcast');
  const waitForNewOwner = (previous: DaemonProcess): Promise<void> =>
    waitUntil(
      () => !['', previous.settings.process].includes(site.readOwner()),
      20_000,
      'a peer owns the shard',
    );
  const startLoad = (): SteadyLoad => {
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 8);
    load.addCallers('roster', caller, 'rosters', 4);
    return load;
  };
  const waitForAnswers = (load: SteadyLoad): Promise<void> => {
    const expectedCount = load.countAnswers('render') + 20;
    return waitUntil(
      () => load.countAnswers('render') >= expectedCount,
      15_000,
      'callers are answered',
    );
  };
  const endLoad = async (load: SteadyLoad): Promise<void> => {
    const { answered, refused, failures } = await load.stop();
    console.log(`      answered ${answered}, refused as not run ${refused}`);
    expect(failures).to.deep.equal([]);
  };
  let added = 0;
  const addScheduler = async (): Promise<void> => {
    added += 1;
    await (await site.addScheduler('dc1', `n${added}-dc1`)).waitUntilHealthy();
  };
  const addEntry = async (): Promise<void> => {
    added += 1;
    const entry = await site.addEntry('dc1', `n${added}-entry`);
    await entry.waitUntilHealthy();
    balanced.push(entry);
  };

  before(async () => {
    await site.start();
    balanced.push(...site.entries);
  });
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('keeps each request while its owner is paused and the store is slow', async () => {
    // Guards against a takeover that takes longer than its own lease, and a resumed owner that acts on stale reads.
    const load = startLoad();
    site.store.setFault('none', 400);
    const owner = await site.waitForOwner(20_000);
    owner.signal('SIGSTOP');
    await waitForNewOwner(owner);
    await waitForAnswers(load);
    owner.signal('SIGCONT');
    await waitForAnswers(load);
    site.store.setFault('none');
    await endLoad(load);
  });

  it('lets a peer take the shard over while the responses of the store are lost', async () => {
    // Guards against a claim or an epoch that was written but is considered not written, and against a new
    // owner and entries that still accept a key that was withdrawn while the shard had no owner.
    const load = startLoad();
    const owner = await site.waitForOwner(20_000);
    const leaver = new Caller(chooseUrl, 'key-leaver');
    site.store.setFault('loseAnswers');
    owner.signal('SIGKILL');
    site.putKeys(['broadcast', 'leaver'], 2, ['leaver']);
    await sleep(3000);
    const refused = await leaver.submit('renders', { size, command: 'echo late' });
    expect(refused.problem).to.include({ title: 'withdrawnKey', ran: 'no' });
    await sleep(3000);
    site.store.setFault('none');
    await waitForNewOwner(owner);
    await waitForAnswers(load);
    site.hostList.remove(owner.settings.process);
    await addScheduler();
    await endLoad(load);
  });

  it('starts processes during a store outage, which read from peers or are not ready', async () => {
    // Guards against a new process that serves without configuration or keys, or waits for the store.
    site.store.setFault('down');
    const settings = {
      environment: 'test',
      process: 'lonely',
      dataCentre: 'dc1',
      http: { host: '127.0.0.1', port: await findFreePort() },
      platform: { store: nowhere, hosts: nowhere },
    };
    const isolatedEntry = new DaemonProcess('entry', settings);
    await isolatedEntry.waitUntilHealthy('/livez');
    await Promise.all([addEntry(), addScheduler()]);
    const newest = new Caller(() => balanced.at(-1)?.url ?? '', 'key-broadcast');
    const { view } = await newest.submit('renders', { size, command: 'echo learned' });
    expect(view.output, JSON.stringify(view)).to.deep.equal(['learned']);
    expect((await fetch(`${isolatedEntry.url}/readyz`)).status).to.equal(503);
    const alone = new Caller(() => isolatedEntry.url, 'key-broadcast');
    const { status, problem } = await alone.submit('renders', { size, command: 'echo no' });
    expect([status, problem.title, problem.ran]).to.deep.equal([503, 'notReady', 'no']);
    isolatedEntry.signal('SIGKILL');
    await isolatedEntry.exit;
    site.store.setFault('none');
    await sleep(1500);
  });

  it('keeps journaled requests and adopts running tasks when an entry and the owner are killed', async () => {
    // Guards against requests that only the two killed processes knew.
    const owner = await site.waitForOwner(20_000);
    const entry = balanced.shift();
    const killed = new Caller(() => entry?.url ?? '', 'key-broadcast');
    const command = 'sleep 4000; echo done';
    const sent = await Promise.all([
      killed.submit('rosters', { size, command, detached: 'yes' }),
      killed.submit('rosters', { size, command }, { wait: 0, idempotencyKey: 'both' }),
      killed.submit('renders', { size, command }, { wait: 0 }),
    ]);
    const ids = sent.map(({ view }) => view.id);
    await waitUntil(() => site.monitor.runningTasks.length === 3, 5000, 'three tasks run');
    entry?.signal('SIGKILL');
    owner.signal('SIGKILL');
    await waitForNewOwner(owner);
    await sleep(1000);
    const ends = await Promise.all(ids.map((id) => caller.wait(id, 20)));
    expect(ends.map(({ view }) => view.output)).to.deep.equal([['done'], ['done'], ['done']]);
    expect(ids.map((id) => site.monitor.countStarts(id))).to.deep.equal([1, 1, 1]);
    site.hostList.remove(owner.settings.process);
    await addScheduler();
  });

  it('does not repeat non-idempotent work when its worker restarts and its owner is killed', async () => {
    // Guards against an owner that takes missing reports of restarted workers as proof that the work did not start.
    const owner = await site.waitForOwner(20_000);
    const specification = { size, command: 'sleep 60000', detached: 'yes' } as const;
    const { id } = (await caller.submit('rosters', specification)).view;
    await waitUntil(() => site.monitor.countStarts(id) === 1, 5000, 'the task runs');
    owner.signal('SIGKILL');
    for (const worker of site.workers) worker.reboot();
    await waitForNewOwner(owner);
    const { problem } = await caller.wait(id, 20);
    expect(problem).to.include({ title: 'outcomeUnknown', ran: 'unknown' });
    expect(site.monitor.countStarts(id)).to.equal(1);
    site.hostList.remove(owner.settings.process);
    await addScheduler();
  });

  it('loses no request while every process is replaced one by one', async () => {
    // Guards against a replacement of processes that callers notice.
    const load = startLoad();
    for (const scheduler of site.schedulers.filter(({ isRunning }) => isRunning)) {
      await addScheduler();
      scheduler.signal('SIGTERM');
      expect(await scheduler.exit).to.equal(0);
      site.hostList.remove(scheduler.settings.process);
    }
    for (const entry of [...balanced]) {
      await addEntry();
      entry.signal('SIGTERM');
      // The load balancer detects only after a while that the entry is not ready.
      await sleep(300);
      balanced.splice(balanced.indexOf(entry), 1);
      expect(await entry.exit).to.equal(0);
    }
    await endLoad(load);
  });
});
