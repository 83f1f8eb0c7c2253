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
  const create = (index: number): Caller =>
    new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());

  it('says that the journal does not have a request while the store is down', async () => {
    site.store.setFault('down');
    const { status, view } = await create(1).submit('renders', long, { wait: 0 });
    expect(status).to.equal(202);
    expect(view.durable).to.equal(false);
    site.store.setFault('none');
    const endsAt = performance.now() + 10_000;
    let now = view;
    while (now.durable !== true && performance.now() < endsAt)
      now = (await create(1).wait(view.id, 0.5)).view;
    expect(now.durable).to.equal(true);
    await create(1).cancel(view.id);
  });

  it('serves a request that prefers to be detached while the store is down', async () => {
    site.store.setFault('down');
    // Until its store lease has ended, the owner takes the store as reachable.
    await sleep(4000);
    const preferring = { size, command: 'echo x', detached: 'prefer' } as const;
    const preferred = await create(1).submit('renders', preferring, { wait: 10 });
    expect(preferred.view.output).to.deep.equal(['x']);
    site.store.setFault('none');
    await sleep(1500);
  });

  it('does not say that a request did not run because another owner wrote the journal', async () => {
    // Guards against a refusal by a superseded owner of a request that the next owner gets and runs.
    const former = site.findOwner()?.settings.process;
    const { segments } = JSON.parse(site.store.peek('journals/s1').value ?? '{}') as {
      readonly segments: readonly number[];
    };
    const key = `journal/s1/${String(segments.at(-1)).padStart(10, '0')}`;
    site.store.put(key, site.store.peek(key).value ?? '');
    const answer = await create(1).submit('renders', { size, command: 'echo y', detached: 'yes' });
    expect(answer.problem.title).to.equal(undefined);
    const { view } = await create(1).wait(answer.view.id, 20);
    expect([former === undefined, view.output]).to.deep.equal([false, ['y']]);
  });

  // Guards against 404 for a request whose caller got 202: nobody else knew of it.
  it('answers a request whose entry and owner are killed while it waits', async () => {
    const first = await create(1).submit('renders', long, { wait: 0 });
    const { status, view } = await create(0).submit(
      'renders',
      { size, command: 'echo kept', deadlineSeconds: 60 },
      { wait: 0 },
    );
    expect(status).to.equal(202);
    expect(view).to.include({ state: 'waiting', durable: true });
    site.entries[0]?.signal('SIGKILL');
    site.findOwner()?.signal('SIGKILL');
    let last = await create(1).wait(view.id, 20);
    if (last.status === 202) last = await create(1).wait(view.id, 20);
    expect(last.view.output).to.deep.equal(['kept']);
    expect(site.monitor.countStarts(first.view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against the loss of a request that its owner knows but forgets when its store lease expires.
  it('answers a request whose entry is killed and whose owner lost its claim', async () => {
    const entry = await site.addEntry('dc1', 'extra-dc1');
    await entry.waitUntilHealthy();
    const busy = { size, command: 'sleep 12000', deadlineSeconds: 60 };
    const first = await create(1).submit('renders', busy, { wait: 0 });
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
    expect((await create(1).cancel(other.id)).view.state).to.equal('stopping');
    entry.signal('SIGKILL');
    await sleep(4000);
    site.store.setFault('none');
    let last = await create(1).wait(view.id, 20);
    for (let asked = 0; last.view.output === undefined && asked < 2; asked += 1)
      last = await create(1).wait(view.id, 20);
    expect(last.view.output, JSON.stringify(last)).to.deep.equal(['relayed']);
    expect((await create(1).wait(other.id, 5)).view.state).to.equal('cancelled');
    expect(site.monitor.countStarts(first.view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against a second start by an owner whose host list misses the worker that runs the task.
  it('adopts a task on a worker that the host list misses', async () => {
    const worker = site.workers[0];
    const other = await site.addWorker('dc1', 'w1-dc1', 'rack1');
    const answer = create(1).submit(
      'rosters',
      { size, command: 'sleep 6000; echo once', deadlineSeconds: 60 },
      { wait: 30 },
    );
    const endsAt = performance.now() + 10_000;
    while (worker?.runningCount !== 1 && other.runningCount !== 1 && performance.now() < endsAt)
      await sleep(50);
    const holder = worker?.runningCount === 1 ? worker : other;
    site.hostList.remove(holder.options.id);
    await sleep(1500);
    site.findOwner()?.signal('SIGKILL');
    await (await site.addScheduler('dc1', 'next-dc1')).waitUntilHealthy();
    const { view } = await answer;
    expect(view.output).to.deep.equal(['once']);
    expect(site.monitor.countStarts(view.id)).to.equal(1);
    expect(site.monitor.violations).to.deep.equal([]);
  });

  // Guards against "no such request" for one that is lost as its answer announced, and that may have run.
  it('says that the record is missing after entry and owner were killed without a journal', async () => {
    const entry = await site.addEntry('dc1', 'lost-dc1');
    await entry.waitUntilHealthy();
    const busy = { size, command: 'sleep 30000', deadlineSeconds: 60 };
    for (const _ of site.workers) await create(1).submit('renders', busy, { wait: 0 });
    const former = site.findOwner();
    site.store.setFault('down');
    const { view } = await new Caller(() => entry.url, 'key-broadcast').submit('renders', long, {
      wait: 0,
    });
    expect(view).to.include({ state: 'waiting', durable: false });
    entry.signal('SIGKILL');
    former?.signal('SIGKILL');
    site.store.setFault('none');
    await (await site.addScheduler('dc1', 'last-dc1')).waitUntilHealthy();
    let last = await create(1).wait(view.id, 20);
    for (let asked = 0; last.status === 504 && asked < 5; asked += 1)
      last = await create(1).wait(view.id, 20);
    expect(last.problem).to.include({ status: 410, title: 'recordMissing', ran: 'unknown' });
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
