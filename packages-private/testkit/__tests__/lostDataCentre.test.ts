import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { RequestView } from '@toucanline/schema';
import { expect } from 'chai';
import { stringify } from 'smol-toml';
import { Caller, FaultProxy, HostListFake, runCommandLine, Site, sleep } from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const releaseMs = 5000;

const document = `schema = 1

[shards.s1]
dataCentre = "dc1"

[shards.s2]
dataCentre = "dc2"

[teams.broadcast]
share = 1
limit = { processors = 90, memoryMb = 180000, accelerators = 0 }

[teams.planning]
share = 1

[queues.renders]
kind = "batch"
idempotent = true
whenCutOff = "release"
releaseAfterSeconds = ${releaseMs / 1000}

[queues.rosters]
kind = "batch"
idempotent = false
whenCutOff = "release"
releaseAfterSeconds = ${releaseMs / 1000}

[queues.charts]
kind = "batch"
idempotent = true
`;

const waitUntil = async (
  isTrue: () => boolean | Promise<boolean>,
  timeoutMs: number,
  description: string,
): Promise<void> => {
  const endsAt = performance.now() + timeoutMs;
  while (!(await isTrue())) {
    if (performance.now() > endsAt) throw new Error(`not within ${timeoutMs} ms: ${description}`);
    await sleep(50);
  }
};

describe('a data centre that is cut off or lost', () => {
  // dc2 has its own host list, so that the links between dc1 and dc2 can be cut in both directions.
  const hosts = new HostListFake();
  const store: FaultProxy = new FaultProxy(() => site.store.address);
  const links: FaultProxy[] = [];
  const site = new Site({
    document,
    dataCentres: ['dc1', 'dc2'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 2,
    teams: ['broadcast', 'planning'],
    findStoreUrl: (dataCentre) => (dataCentre === 'dc2' ? `http://${store.address}` : undefined),
    findHostListUrl: (dataCentre) => (dataCentre === 'dc2' ? hosts.url : undefined),
    proxyScheduler: async (address, process) => {
      const proxy = new FaultProxy(() => address);
      await proxy.start();
      links.push(proxy);
      const dataCentre = process.replace(/^.*-/, '');
      const link = proxy.address;
      hosts.put({ id: process, role: 'scheduler', state: 'live', dataCentre, address: link });
      for (const { options, hostRecord } of site.workers) {
        if (options.dataCentre === 'dc2') hosts.put(hostRecord);
      }
      return dataCentre === 'dc2' ? proxy.address : address;
    },
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
  const filler = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
  const setFault = (fault: 'cut' | 'none'): void => {
    for (const proxy of [store, ...links]) proxy.setFault(fault);
  };
  const countIn = (dataCentre: string): number =>
    site.workers
      .filter(({ options }) => options.dataCentre === dataCentre)
      .reduce((sum, { runningCount }) => sum + runningCount, 0);
  /** Submits a request to the entry of dc1, whose workers are full, so that it is routed to dc2. */
  const submitToOther = async (
    queue: string,
    detached: 'yes' | 'no',
    command: string,
  ): Promise<RequestView> => {
    const body = { size, command, detached, deadlineSeconds: 120 };
    const { view } = await caller.submit(queue, body, { wait: 0 });
    expect(view.id).to.match(/^s2\./);
    await waitUntil(() => site.monitor.countStarts(view.id) === 1, 5000, `${view.id} runs`);
    // The next load notices tell the entry that no request waits in dc2.
    await sleep(700);
    return view;
  };
  const fill = async (ms: number): Promise<void> => {
    const body = { size: { ...size, processors: 16 }, command: `sleep ${ms}` };
    const startLocally = async (): Promise<boolean> => {
      const { view } = await filler.submit('charts', body, { wait: 0 });
      const isRemote = view.id.startsWith('s2.');
      // Right after its start, an entry may know only the load of the other data centre.
      if (isRemote) await filler.cancel(view.id);
      await sleep(700);
      return !isRemote && countIn('dc1') === 2;
    };
    await waitUntil(startLocally, 10_000, 'dc1 is full');
    await waitUntil(() => countIn('dc2') === 0, 5000, 'dc2 is empty');
    await sleep(1200);
  };
  const waitForOutcome = async (id: string, waitMs: number): Promise<string> => {
    let end = '';
    const isAnswered = async (): Promise<boolean> => {
      const { status, view, problem } = await caller.wait(id, 5);
      end = view.output?.[0] ?? `${problem.title} ${problem.ran}`;
      return status === 200 || problem.title === 'outcomeUnknown';
    };
    await waitUntil(isAnswered, waitMs, `an answer for ${id}`);
    return end;
  };

  before(async () => {
    await Promise.all([store.start(), hosts.start()]);
    await site.start();
  });
  after(async () => {
    await site.stop();
    for (const proxy of [store, ...links]) proxy.stop();
    hosts.stop();
  });
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('releases queues to other data centres after their time, and runs no task in both', async function () {
    this.timeout(120_000);
    // Guards against requests that wait forever for a lost data centre, and against a takeover that is too early.
    await fill(10_000);
    const detached = await submitToOther('renders', 'yes', 'sleep 13000; echo detached');
    const attached = await submitToOther('renders', 'no', 'sleep 13000; echo attached');
    const rosters = [
      await submitToOther('rosters', 'yes', 'sleep 13000; echo roster'),
      await submitToOther('rosters', 'no', 'sleep 13000; echo roster'),
    ];
    const staying = await submitToOther('charts', 'yes', 'sleep 13000; echo staying');
    await waitUntil(() => countIn('dc2') === 5, 5000, 'all tasks run in dc2');
    setFault('cut');
    const cutAt = performance.now();
    await waitUntil(() => countIn('dc2') === 1, releaseMs + 3000, 'dc2 stopped the released tasks');
    expect(performance.now() - cutAt).to.be.greaterThan(releaseMs - 2000);
    const ids = [detached.id, attached.id, ...rosters.map(({ id }) => id)];
    expect(await Promise.all(ids.map((id) => waitForOutcome(id, 60_000)))).to.deep.equal([
      'detached',
      'attached',
      'outcomeUnknown unknown',
      'outcomeUnknown unknown',
    ]);
    console.log(`      answered ${Math.round(performance.now() - cutAt)} ms after the cut`);
    setFault('none');
    expect(await waitForOutcome(staying.id, 15_000)).to.equal('staying');
    await site.waitForOwners();
    await sleep(2000);
    const starts = [...ids, staying.id].map((id) => site.monitor.countStarts(id));
    expect(starts).to.deep.equal([2, 2, 1, 1, 1]);
    expect(site.monitor.runningTasks).to.deep.equal([]);
  });

  it('takes work over at once when an operator declares the loss, after a preview of the risk', async function () {
    this.timeout(60_000);
    // Guards against a data centre that returns and continues tasks that were taken over.
    const folder = mkdtempSync(join(tmpdir(), 'toucanline-lost-'));
    const settings = join(folder, 'settings.toml');
    const environment = { entries: [site.entries[0]?.url ?? ''], key: site.operatorKey };
    writeFileSync(settings, stringify({ author: 'ann', environments: { test: environment } }));
    await fill(6000);
    const roster = await submitToOther('rosters', 'yes', 'sleep 30000; echo roster');
    await waitUntil(() => countIn('dc2') === 1, 5000, 'the task runs in dc2');
    setFault('cut');
    await sleep(4000);
    const args = ['datacentre', 'lost', 'dc2', '--settings', settings];
    const shown = await runCommandLine(...args);
    expect(shown.code).to.equal(5);
    expect(shown.stdout).to.match(/rosters, team broadcast, not idempotent: 1 may have started/);
    expect(shown.stdout).to.match(/Freed for other data centres: broadcast [\d.]+ processors/);
    const declared = await runCommandLine(...args, '--yes');
    expect(declared.stderr).to.equal('');
    expect(await waitForOutcome(roster.id, 6000)).to.equal('outcomeUnknown unknown');
    expect(site.store.peek('allotments').value).not.to.include('"s2":{"processors"');
    setFault('none');
    await waitUntil(
      () => countIn('dc2') === 0,
      10_000,
      'dc2 stopped the tasks that were taken over',
    );
    expect(site.monitor.countStarts(roster.id)).to.equal(1);
    const returned = await runCommandLine('datacentre', 'returned', ...args.slice(2), '--yes');
    expect(returned.stderr).to.equal('');
    await site.waitForOwners();
    rmSync(folder, { recursive: true });
  });

  it('runs the work of a stopped data centre elsewhere when an operator declares the loss', async function () {
    this.timeout(60_000);
    // Guards against idempotent requests that are lost with their data centre.
    await fill(6000);
    const detached = await submitToOther('charts', 'yes', 'sleep 6000; echo detached');
    const attached = await submitToOther('charts', 'no', 'sleep 6000; echo attached');
    await waitUntil(() => countIn('dc2') === 2, 5000, 'all tasks run in dc2');
    site.schedulers[1]?.signal('SIGKILL');
    site.entries[1]?.signal('SIGKILL');
    for (const worker of site.workers) if (worker.options.dataCentre === 'dc2') worker.stop();
    await sleep(4000);
    const response = await caller.send('GET', '/v1/datacentres/dc2');
    expect(response.status).to.equal(403);
    const operator = new Caller(() => site.entries[0]?.url ?? '', site.operatorKey);
    const known = await operator.send('GET', '/v1/datacentres/dc2');
    const { generation } = known.view as unknown as { readonly generation: number };
    const declaration = { state: 'lost', author: 'ann', ifGeneration: generation };
    const { status } = await operator.send(
      'PUT',
      '/v1/datacentres/dc2',
      JSON.stringify(declaration),
    );
    expect(status).to.equal(200);
    const ends = await Promise.all(
      [detached, attached].map(({ id }) => waitForOutcome(id, 20_000)),
    );
    expect(ends).to.deep.equal(['detached', 'attached']);
    expect([detached, attached].map(({ id }) => site.monitor.countStarts(id))).to.deep.equal([
      2, 2,
    ]);
  });
});
