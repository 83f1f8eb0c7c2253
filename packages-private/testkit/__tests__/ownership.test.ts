import { expect } from 'chai';
import {
  Caller,
  exampleDocument,
  Site,
  sleep,
  waitUntil,
  type DaemonProcess,
} from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const failoverMs = 10_000;

describe('the ownership of a shard with real processes', () => {
  const site = new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 3,
    teams: ['planning', 'broadcast'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
  const starts: number[] = [];
  let added = 0;

  /** Replaces a scheduler that has ended, so that each test starts with three. */
  const replace = async (ended: DaemonProcess): Promise<void> => {
    await ended.exit;
    site.hostList.remove(ended.settings.process);
    added += 1;
    await (await site.addScheduler('dc1', `n${added}-dc1`)).waitUntilHealthy();
  };

  const submit = (queue: string, command: string): ReturnType<Caller['submit']> =>
    caller.submit(queue, { size, command, deadlineSeconds: 60 }, { wait: 30 });

  /** Starts callers that submit short requests until the load is stopped; `stop` returns the outcome of each. */
  const createLoad = (): { readonly stop: () => Promise<readonly string[]> } => {
    let active = true;
    const run = async (): Promise<readonly string[]> => {
      const outcomes: string[] = [];
      while (active) {
        const { view, problem } = await submit('renders', 'sleep 20; echo ok');
        outcomes.push(view.output?.[0] ?? problem.title);
      }
      return outcomes;
    };
    const runs = Array.from({ length: 12 }, run);
    return {
      stop: async () => {
        active = false;
        return (await Promise.all(runs)).flat();
      },
    };
  };

  /** Returns the largest interval between starts on the workers in a window of time, in milliseconds. */
  const measureGap = (from: number, to: number): number => {
    const inside = starts.filter((at) => at >= from && at <= to);
    let largest = 0;
    let previous = from;
    for (const at of [...inside, to]) {
      largest = Math.max(largest, at - previous);
      previous = at;
    }
    return largest;
  };

  before(async () => {
    await site.start();
    const recordStart = site.monitor.recordStart.bind(site.monitor);
    site.monitor.recordStart = (worker, assignment) => {
      starts.push(performance.now());
      recordStart(worker, assignment);
    };
  });
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('hands the shard over on SIGTERM without a failed request', async () => {
    const owner = await site.waitForOwner(failoverMs);
    const load = createLoad();
    const roster = submit('rosters', 'sleep 1500; echo roster');
    await sleep(700);
    const from = performance.now();
    owner.signal('SIGTERM');
    expect(await owner.exit).to.equal(0);
    await sleep(700);
    const gapMs = measureGap(from, performance.now());
    const outcomes = await load.stop();
    console.log(`      gap in decisions at the handover: ${Math.round(gapMs)} ms`);
    expect(new Set(outcomes)).to.deep.equal(new Set(['ok']));
    const { view } = await roster;
    expect(view.output).to.deep.equal(['roster']);
    expect(site.monitor.countStarts(view.id)).to.equal(1);
    expect(owner.log.join('\n')).to.include('claimHandedOver');
    expect(gapMs).to.be.lessThan(500);
    await replace(owner);
  });

  it('resumes within 10 s after SIGKILL of the owner and adopts running tasks', async () => {
    const owner = await site.waitForOwner(failoverMs);
    const answers = [
      submit('rosters', 'sleep 7000; echo roster'),
      submit('renders', 'sleep 7000; echo render'),
    ];
    const detached = await caller.submit('rosters', {
      size,
      command: 'sleep 500; echo detached',
      detached: 'yes',
    });
    expect(detached.status).to.equal(202);
    await waitUntil(() => site.monitor.runningTasks.length === 3, 5000, 'three tasks run');
    const killedAt = performance.now();
    owner.signal('SIGKILL');
    const { view } = await submit('renders', 'echo next');
    const tookMs = performance.now() - killedAt;
    console.log(`      first decision after SIGKILL: ${Math.round(tookMs)} ms`);
    expect(view.output).to.deep.equal(['next']);
    expect(tookMs).to.be.lessThan(failoverMs);
    const views = (await Promise.all(answers)).map((answer) => answer.view);
    expect(views.map(({ output }) => output)).to.deep.equal([['roster'], ['render']]);
    const { id } = detached.view;
    expect((await caller.wait(id, 10)).view.output).to.deep.equal(['detached']);
    const counts = [...views.map((each) => each.id), id].map((each) =>
      site.monitor.countStarts(each),
    );
    expect(counts).to.deep.equal([1, 1, 1]);
    await replace(owner);
  });

  it('stops an owner that was paused for longer than its lease as soon as it resumes', async () => {
    const owner = await site.waitForOwner(failoverMs);
    const roster = submit('rosters', 'sleep 6000; echo roster');
    await waitUntil(() => site.monitor.runningTasks.length === 1, 5000, 'the task runs');
    owner.signal('SIGSTOP');
    await waitUntil(
      () => site.readOwner() !== '' && site.readOwner() !== owner.settings.process,
      failoverMs,
      'a peer owns the shard',
    );
    const load = createLoad();
    await sleep(300);
    owner.signal('SIGCONT');
    await waitUntil(
      () => owner.log.some((line) => line.includes('claimLost')),
      3000,
      'the paused owner detects the loss of its claim',
    );
    await sleep(500);
    expect(new Set(await load.stop())).to.deep.equal(new Set(['ok']));
    const { view } = await roster;
    expect(view.output).to.deep.equal(['roster']);
    expect(site.monitor.countStarts(view.id)).to.equal(1);
  });

  it('never answers ran: no for a request whose commit has an unknown outcome', async () => {
    const owner = await site.waitForOwner(failoverMs);
    site.store.setFault('loseAnswers');
    const answers = Array.from({ length: 5 }, (_, index) =>
      caller.submit('rosters', { size, command: `echo ${index}`, detached: 'yes' }),
    );
    await sleep(2500);
    site.store.setFault('none');
    for (const { status, view, problem } of await Promise.all(answers)) {
      expect(problem.ran).to.not.equal('no');
      expect(status).to.equal(202);
      expect((await caller.wait(view.id, 10)).view.state).to.equal('succeeded');
      expect(site.monitor.countStarts(view.id)).to.equal(1);
    }
    expect((await site.waitForOwner(failoverMs)).settings.process).to.equal(owner.settings.process);
  });

  it('starts new work while the store is down and the owner runs', async () => {
    const owner = await site.waitForOwner(failoverMs);
    site.store.setFault('down');
    await sleep(5000);
    expect((await submit('renders', 'echo alone')).view.output).to.deep.equal(['alone']);
    const refused = await caller.submit('renders', { size, command: 'echo d', detached: 'yes' });
    expect(refused.problem).to.include({ title: 'storeUnavailable', ran: 'no' });
    const preferred = { size, command: 'echo attached', detached: 'prefer' } as const;
    const attached = await caller.submit('renders', preferred, { wait: 10 });
    expect(attached.view.output).to.deep.equal(['attached']);
    site.store.setFault('none');
    await sleep(1500);
    expect((await submit('renders', 'echo back')).view.output).to.deep.equal(['back']);
    expect(owner.log.join('\n')).to.not.include('provisional');
  });

  it('fails over while the store is down, based on the leases of the workers', async () => {
    const owner = await site.waitForOwner(failoverMs);
    const roster = submit('rosters', 'sleep 1000; echo roster');
    await waitUntil(() => site.monitor.runningTasks.length === 1, 5000, 'the task runs');
    site.store.setFault('down');
    const killedAt = performance.now();
    owner.signal('SIGKILL');
    const next = await caller.submit('renders', {
      size,
      command: 'echo next',
      deadlineSeconds: 60,
    });
    let { view } = next;
    while (view.output === undefined && performance.now() - killedAt < 40_000) {
      ({ view } = await submit('renders', 'echo next'));
    }
    const tookMs = performance.now() - killedAt;
    console.log(`      first decision without store and owner: ${Math.round(tookMs)} ms`);
    expect(view.output).to.deep.equal(['next']);
    const { id } = (await roster).view;
    expect((await caller.wait(id, 20)).view.output).to.deep.equal(['roster']);
    expect(site.monitor.countStarts(id)).to.equal(1);
    site.store.setFault('none');
    await waitUntil(() => site.readOwner() !== '', failoverMs, 'the shard is claimed in the store');
    expect((await submit('renders', 'echo stored')).view.output).to.deep.equal(['stored']);
    const claims = site.schedulers
      .flatMap(({ log }) => log)
      .filter((line) => /claimTaken|claimLost/.test(line));
    const provisional = claims.filter((line) => line.includes('provisional, by a majority'));
    expect(provisional, claims.join('\n')).to.have.length(1);
  });
});
