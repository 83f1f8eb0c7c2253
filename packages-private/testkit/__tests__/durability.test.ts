import { expect } from 'chai';
import { Caller, exampleDocument, Site, sleep } from '../src/index.js';

const size = { processors: 16, memoryMb: 512, accelerators: 0 };
const long = { size, command: 'sleep 5000', deadlineSeconds: 60 };

describe('requests that outlive the wait of their callers, with real processes', () => {
  const site = new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 1,
    teams: ['broadcast'],
  });
  const createCaller = (index: number): Caller =>
    new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());

  it('returns durable: false while the journal lacks a request because the store is down', async () => {
    site.store.setFault('down');
    const { status, view } = await createCaller(1).submit('renders', long, { wait: 0 });
    expect(status).to.equal(202);
    expect(view.durable).to.equal(false);
    site.store.setFault('none');
    const endsAt = performance.now() + 10_000;
    let current = view;
    while (current.durable !== true && performance.now() < endsAt)
      current = (await createCaller(1).wait(view.id, 0.5)).view;
    expect(current.durable).to.equal(true);
    await createCaller(1).cancel(view.id);
  });

  it('runs a request with detached: prefer while the store is down', async () => {
    site.store.setFault('down');
    // Until its store lease expires, the owner considers the store reachable.
    await sleep(4000);
    const preferring = { size, command: 'echo x', detached: 'prefer' } as const;
    const preferred = await createCaller(1).submit('renders', preferring, { wait: 10 });
    expect(preferred.view.output).to.deep.equal(['x']);
    site.store.setFault('none');
    await sleep(1500);
  });

  it('does not answer that a request did not run because another owner wrote the journal', async () => {
    // Guards against a superseded owner that refuses a request which the next owner receives and runs.
    const previousOwner = site.findOwner()?.settings.process;
    const { segments } = JSON.parse(site.store.peek('journals/s1').value ?? '{}') as {
      readonly segments: readonly number[];
    };
    const key = `journal/s1/${String(segments.at(-1)).padStart(10, '0')}`;
    site.store.put(key, site.store.peek(key).value ?? '');
    const answer = await createCaller(1).submit('renders', {
      size,
      command: 'echo y',
      detached: 'yes',
    });
    expect(answer.problem.title).to.equal(undefined);
    const { view } = await createCaller(1).wait(answer.view.id, 20);
    expect([previousOwner === undefined, view.output]).to.deep.equal([false, ['y']]);
  });

  // Guards against 404 for a request that was answered with 202 but that only the killed processes knew.
  it('answers a request whose entry and owner are killed while it waits', async () => {
    const first = await createCaller(1).submit('renders', long, { wait: 0 });
    const { status, view } = await createCaller(0).submit(
      'renders',
      { size, command: 'echo kept', deadlineSeconds: 60 },
      { wait: 0 },
    );
    expect(status).to.equal(202);
    expect(view).to.include({ state: 'waiting', durable: true });
    site.entries[0]?.signal('SIGKILL');
    site.findOwner()?.signal('SIGKILL');
    let last = await createCaller(1).wait(view.id, 20);
    if (last.status === 202) last = await createCaller(1).wait(view.id, 20);
    expect(last.view.output).to.deep.equal(['kept']);
    expect(site.monitor.countStarts(first.view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against an owner that drops a request when its store lease expires.
  it('answers a request whose entry is killed and whose owner lost its claim', async () => {
    const entry = await site.addEntry('dc1', 'extra-dc1');
    await entry.waitUntilHealthy();
    const busy = { size, command: 'sleep 12000', deadlineSeconds: 60 };
    const first = await createCaller(1).submit('renders', busy, { wait: 0 });
    site.store.setFault('hang');
    const submit = (command: string): ReturnType<Caller['submit']> =>
      new Caller(() => entry.url, 'key-broadcast').submit(
        'renders',
        { size, command, deadlineSeconds: 60 },
        { wait: 0 },
      );
    const [{ view }, { view: other }] = await Promise.all([
      submit('echo relayed'),
      submit('echo cancelled'),
    ]);
    expect(view).to.include({ state: 'waiting', durable: false });
    expect((await createCaller(1).cancel(other.id)).view.state).to.equal('stopping');
    entry.signal('SIGKILL');
    await sleep(4000);
    site.store.setFault('none');
    let last = await createCaller(1).wait(view.id, 20);
    for (let attempt = 0; last.view.output === undefined && attempt < 2; attempt += 1)
      last = await createCaller(1).wait(view.id, 20);
    expect(last.view.output, JSON.stringify(last)).to.deep.equal(['relayed']);
    expect((await createCaller(1).wait(other.id, 5)).view.state).to.equal('cancelled');
    expect(site.monitor.countStarts(first.view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against a second start by an owner whose host list lacks the worker that runs the task.
  it('adopts a task on a worker that the host list lacks', async () => {
    const worker = site.workers[0];
    const other = await site.addWorker('dc1', 'w1-dc1', 'rack1');
    const answer = createCaller(1).submit(
      'rosters',
      { size, command: 'sleep 6000; echo once', deadlineSeconds: 60 },
      { wait: 30 },
    );
    const endsAt = performance.now() + 10_000;
    while (worker?.runningCount !== 1 && other.runningCount !== 1 && performance.now() < endsAt)
      await sleep(50);
    const runningWorker = worker?.runningCount === 1 ? worker : other;
    site.hostList.remove(runningWorker.options.id);
    await sleep(1500);
    site.findOwner()?.signal('SIGKILL');
    await (await site.addScheduler('dc1', 'next-dc1')).waitUntilHealthy();
    const { view } = await answer;
    expect(view.output).to.deep.equal(['once']);
    expect(site.monitor.countStarts(view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against 404 for a request that may have run and whose possible loss was announced by durable: false.
  it('answers recordMissing after entry and owner were killed without a journal', async () => {
    const entry = await site.addEntry('dc1', 'lost-dc1');
    await entry.waitUntilHealthy();
    const busy = { size, command: 'sleep 30000', deadlineSeconds: 60 };
    for (const _ of site.workers) await createCaller(1).submit('renders', busy, { wait: 0 });
    const previousOwner = site.findOwner();
    site.store.setFault('down');
    const { view } = await new Caller(() => entry.url, 'key-broadcast').submit('renders', long, {
      wait: 0,
    });
    expect(view).to.include({ state: 'waiting', durable: false });
    entry.signal('SIGKILL');
    previousOwner?.signal('SIGKILL');
    site.store.setFault('none');
    await (await site.addScheduler('dc1', 'last-dc1')).waitUntilHealthy();
    let last = await createCaller(1).wait(view.id, 20);
    for (let attempt = 0; last.status === 504 && attempt < 5; attempt += 1)
      last = await createCaller(1).wait(view.id, 20);
    expect(last.problem).to.include({ status: 410, title: 'recordMissing', ran: 'unknown' });
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
