import type { Event, Resources } from '@toucanline/schema';
import { expect } from 'chai';
import { Caller, exampleDocument, Site, sleep, waitUntil, type WorkerFake } from '../src/index.js';

const quarter: Resources = { processors: 4, memoryMb: 1024, accelerators: 0 };
const half: Resources = { processors: 8, memoryMb: 1024, accelerators: 0 };
const whole: Resources = { processors: 16, memoryMb: 1024, accelerators: 0 };

const extraQueues = ['extracts', 'previews', 'exports'];
const document =
  exampleDocument.replace('limit = {', '# limit = {') +
  extraQueues.map((name) => `\n[queues.${name}]\nkind = "batch"\nidempotent = true\n`).join('');

const createSite = (workersPerDataCentre: number): Site =>
  new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre,
    teams: ['planning', 'broadcast'],
  });

const createCallers = (site: Site): readonly [Caller, Caller] => [
  new Caller(() => site.entries[0]?.url ?? '', 'key-planning'),
  new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast'),
];

const findWorker = (site: Site, index: number): WorkerFake => {
  const worker = site.workers[index];
  if (worker === undefined) throw new Error(`the site has no worker ${index}`);
  return worker;
};

describe('faulty workers and faulty jobs with real processes', () => {
  const site = createSite(6);
  const callers = createCallers(site);
  const queues = ['renders', ...extraQueues];

  const listQuarantined = async (): Promise<readonly (string | undefined)[]> => {
    const { view } = await new Caller(() => site.entries[0]?.url ?? '').send(
      'GET',
      '/v1/events',
      undefined,
      site.operatorHeaders,
    );
    const { events } = view as unknown as { readonly events: readonly Event[] };
    return events.filter(({ name }) => name === 'workerQuarantined').map(({ worker }) => worker);
  };
  const submitDistinct = (index: number): ReturnType<Caller['submit']> => {
    const caller = callers[index % 2 === 0 ? 0 : 1];
    const queue = queues[(index >> 1) % queues.length] ?? '';
    return caller.submit(queue, { size: whole, command: `sleep 60; echo part${index}` });
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('quarantines no worker for a job that fails everywhere', async () => {
    // Guards against a faulty job that takes healthy workers out of service.
    const faultyAnswers = Array.from({ length: 20 }, (_, index) =>
      callers[index % 2 === 0 ? 0 : 1].submit('renders', { size: whole, command: 'fail broken' }),
    );
    const healthyAnswers = Array.from({ length: 40 }, (_, index) => submitDistinct(index));
    for (const { problem } of await Promise.all(faultyAnswers))
      expect(problem.ran).not.to.equal('no');
    for (const [index, { view }] of (await Promise.all(healthyAnswers)).entries()) {
      expect(view.output).to.deep.equal([`part${index}`]);
    }
    const failedOn = site.workers.filter(({ failedCount }) => failedCount > 0);
    expect(failedOn.length).to.be.above(1);
    expect(await listQuarantined()).to.deep.equal([]);
  });

  it('quarantines a worker that fails all tasks within 10 failures, and loses no request', async () => {
    // Guards against a worker that fails its tasks quickly and therefore attracts most of the work.
    const faultyWorker = findWorker(site, 0);
    const failedBefore = faultyWorker.failedCount;
    faultyWorker.setFaulty(true);
    let next = 1000;
    const failures: string[] = [];
    const endsAt = performance.now() + 15_000;
    let isQuarantined = false;
    const work = Array.from({ length: 12 }, async () => {
      while (!isQuarantined && performance.now() < endsAt) {
        const index = next;
        next += 1;
        const { view, problem } = await submitDistinct(index);
        const isRight = view.output?.join() === `part${index}`;
        if (!isRight) failures.push(`part${index}: ${problem.detail}`);
      }
    });
    while (!isQuarantined && performance.now() < endsAt) {
      isQuarantined = (await listQuarantined()).includes(faultyWorker.options.id);
      await sleep(20);
    }
    await Promise.all(work);
    console.log(`      quarantined after ${faultyWorker.failedCount - failedBefore} failures`);
    expect(await listQuarantined()).to.deep.equal([faultyWorker.options.id]);
    expect(faultyWorker.failedCount - failedBefore).to.be.within(1, 10);
    expect(failures).to.deep.equal([]);
  });
});

describe('tasks that use more than declared with real processes', () => {
  const site = createSite(2);
  const [planning] = createCallers(site);
  const open = new Set<string>();

  const serve = async (command: string, count: number): Promise<readonly string[]> => {
    const answers = await Promise.all(
      Array.from({ length: count }, () => planning.submit('services', { size: quarter, command })),
    );
    const ids = answers.map(({ view }) => view.id);
    for (const id of ids) open.add(id);
    return ids;
  };
  const isWithinCapacity = (): boolean =>
    site.workers.every(({ usage, options }) => usage.processors <= options.capacity.processors);

  before(() => site.start());
  after(() => site.stop());
  afterEach(async () => {
    await Promise.all([...open].map((id) => planning.cancel(id)));
    open.clear();
    await waitUntil(() => site.monitor.runningTasks.length === 0, 10_000, 'the end of all tasks');
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('throttles them when their worker lacks capacity', async () => {
    // Guards against stopping tasks where throttling suffices, and against doing nothing.
    const ids = await serve('sleep 300; use 3; serve', 8);
    await waitUntil(
      () => site.workers.some(({ hasExceededCapacity: hasOverused }) => hasOverused),
      5000,
      'the growth',
    );
    await waitUntil(isWithinCapacity, 3000, 'throttling');
    await sleep(2000);
    expect(isWithinCapacity()).to.equal(true);
    expect(ids.map((id) => site.monitor.countStarts(id))).to.deep.equal(ids.map(() => 1));
    expect(site.monitor.runningTasks).to.have.length(8);
  });

  it('stops a task that grows again after it was throttled, and no other', async () => {
    // Guards against a task that ignores throttling at the expense of those within their declared size.
    const quiet = await serve('serve', 6);
    const growing = await serve(`sleep 300${'; use 3; sleep 200'.repeat(100)}`, 2);
    const countStarts = (): number =>
      growing.reduce((sum, id) => sum + site.monitor.countStarts(id), 0);
    await waitUntil(() => countStarts() > growing.length, 10_000, 'stopping a growing task');
    expect(quiet.map((id) => site.monitor.countStarts(id))).to.deep.equal(quiet.map(() => 1));
    const running = new Set(
      site.monitor.runningTasks.map(({ assignment }) => assignment.request.id),
    );
    expect(quiet.filter((id) => !running.has(id))).to.deep.equal([]);
  });

  it('places no task where the reported usage leaves no free capacity', async () => {
    // Guards against placement by the declared size alone.
    await serve('use 3; serve', 2);
    const workersInUse = new Set(site.monitor.runningTasks.map(({ worker }) => worker));
    expect(workersInUse.size).to.equal(2);
    await waitUntil(
      () => site.workers.every(({ usage }) => usage.processors === 12),
      5000,
      'the use of both workers',
    );
    // The report with the usage follows the start within one poll.
    await sleep(500);
    const large = await planning.submit('renders', { size: half, command: 'serve' }, { wait: 0 });
    open.add(large.view.id);
    const small = await planning.submit('renders', { size: quarter, command: 'echo fits' });
    expect(small.view.output).to.deep.equal(['fits']);
    await sleep(1500);
    expect(site.monitor.countStarts(large.view.id)).to.equal(0);
    expect(isWithinCapacity()).to.equal(true);
  });
});

describe('leaving workers with real processes', () => {
  const site = createSite(5);
  const [planning] = createCallers(site);

  /** Keeps all workers busy while a worker leaves, until well after the time within which it may get tasks. */
  const checkLeaving = async (
    worker: WorkerFake,
    startLeaving: () => Promise<void>,
  ): Promise<void> => {
    const { id } = worker.options;
    let isOver = false;
    const failures: string[] = [];
    const work = Array.from({ length: 30 }, async () => {
      while (!isOver) {
        const { view, problem } = await planning.submit('renders', {
          size: quarter,
          command: 'sleep 100; echo done',
        });
        if (view.output?.join() !== 'done') failures.push(problem.detail);
      }
    });
    try {
      await waitUntil(() => worker.runningCount > 0, 5000, `the first work on ${id}`);
      site.monitor.recordLeaving(id);
      await startLeaving();
      await sleep(3500);
      expect(worker.runningCount, `work on ${id}`).to.equal(0);
      await sleep(1500);
    } finally {
      isOver = true;
      await Promise.all(work);
    }
    expect(worker.runningCount, `work on ${id}`).to.equal(0);
    expect(failures).to.deep.equal([]);
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('get no new task after their own report', async () => {
    // Guards against an owner that reads the state of a worker from the host list alone.
    const worker = findWorker(site, 0);
    await checkLeaving(worker, () => {
      worker.startLeaving();
      return Promise.resolve();
    });
  });

  it('get no new task after a change of the host list', async () => {
    // Guards against an owner that trusts a worker which still reports itself as live.
    const worker = findWorker(site, 1);
    await checkLeaving(worker, () => {
      site.hostList.put({ ...worker.hostRecord, state: 'leaving' });
      return Promise.resolve();
    });
  });

  it('get no new task after their own report while the host list lags', async () => {
    // Guards against a stale host list that marks a leaving worker as live again.
    const worker = findWorker(site, 2);
    site.hostList.setLag(10_000);
    try {
      await checkLeaving(worker, () => {
        worker.startLeaving();
        site.hostList.put(worker.hostRecord);
        return Promise.resolve();
      });
    } finally {
      site.hostList.setLag(0);
    }
  });

  it("get no new task after an operator's drain", async () => {
    // Guards against a drain that the next report of the worker undoes.
    const worker = findWorker(site, 3);
    await checkLeaving(worker, async () => {
      const operator = new Caller(() => site.entries[0]?.url ?? '');
      const path = `/v1/workers/${worker.options.id}/drain`;
      const { status } = await operator.send('POST', path, undefined, site.operatorHeaders);
      expect(status).to.equal(200);
    });
  });
});
