import type { Resources } from '@toucanline/schema';
import { expect } from 'chai';
import { Caller, createDocument, Site, sleep, waitUntil } from '../src/index.js';

const size: Resources = { processors: 2, memoryMb: 1024, accelerators: 0 };
const createLimit = (processors: number): Resources => ({
  processors,
  memoryMb: 200_000,
  accelerators: 0,
});

const dataCentres = ['dc1', 'dc2'];
const writeDocument = (processors: number): string =>
  createDocument(
    dataCentres,
    {
      capped: { share: 1, limit: createLimit(processors) },
      filler: { share: 1 },
      rapid: { share: 1 },
    },
    {
      queues: { renders: { kind: 'batch', idempotent: true, maxWaiting: 100 } },
      placement: { lowerLimitSeconds: 4 },
    },
  );

describe('team limits over two data centres with real processes', () => {
  const site = new Site({
    document: writeDocument(40),
    dataCentres,
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 3,
    teams: ['capped', 'filler', 'rapid'],
  });
  const createCaller = (team: string, index: number): Caller =>
    new Caller(() => site.entries[index]?.url ?? '', `key-${team}`);
  const capped = [createCaller('capped', 0), createCaller('capped', 1)] as const;
  const filler = [createCaller('filler', 0), createCaller('filler', 1)] as const;
  const readCapped = (): number => site.monitor.readAllocation('capped').processors;
  const countRunning = (team: string): number =>
    site.monitor.runningTasks.filter(({ assignment }) => assignment.request.team === team).length;
  const isRunning = (id: string): boolean =>
    site.monitor.runningTasks.some(({ assignment }) => assignment.request.id === id);
  const open = new Map<string, Caller>();

  const submit = async (
    caller: Caller,
    queue: string,
    command: string,
    count: number,
  ): Promise<readonly string[]> => {
    const answers = await Promise.all(
      Array.from({ length: count }, () => caller.submit(queue, { size, command }, { wait: 0 })),
    );
    const ids = answers.map(({ view }) => view.id);
    for (const id of ids) open.set(id, caller);
    return ids;
  };

  before(async () => {
    await site.start();
    site.monitor.setLimits(new Map([['capped', createLimit(40)]]));
  });
  after(() => site.stop());
  // Entries route by load notices, so a test starts after those of the previous test have been replaced.
  beforeEach(() => sleep(1500));
  afterEach(async () => {
    // A cancellation is retried while a shard has no owner: after a store outage the owners claim again.
    const cancel = async ([id, caller]: readonly [string, Caller]): Promise<void> => {
      const endsAt = performance.now() + 20_000;
      while ((await caller.cancel(id)).status >= 500 && performance.now() < endsAt)
        await sleep(250);
    };
    await Promise.all([...open].map(cancel));
    await waitUntil(() => site.monitor.runningTasks.length === 0, 20_000, 'the end of all tasks');
    open.clear();
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('never exceeds a limit while the demand of both data centres exceeds it', async () => {
    // Guards against two shards that use the same part of a limit.
    const endsAt = performance.now() + 4000;
    let highest = 0;
    const work = capped.flatMap((caller) =>
      Array.from({ length: 20 }, async () => {
        while (performance.now() < endsAt) {
          await caller.submit('renders', { size, command: 'sleep 150' });
          highest = Math.max(highest, readCapped());
        }
      }),
    );
    await Promise.all(work);
    expect(highest).to.be.within(30, 40);
  });

  it('makes 95% of a limit usable in one data centre within 10 s, and keeps it without the store', async () => {
    // Guards against allotments that stay in a shard without demand, and against losing them in an outage.
    await submit(filler[1], 'renders', 'serve', 24);
    await waitUntil(() => countRunning('filler') === 24, 10_000, 'filling dc2');
    await submit(capped[0], 'renders', 'serve', 60);
    await waitUntil(() => readCapped() >= 38, 10_000, 'using the limit in dc1');
    const dataCentresInUse = new Set(
      site.monitor.runningTasks
        .filter(({ assignment }) => assignment.request.team === 'capped')
        .map(({ worker }) => worker.slice(-3)),
    );
    expect([...dataCentresInUse]).to.deep.equal(['dc1']);
    site.store.setFault('down');
    try {
      const [first] = [...open].filter(([, caller]) => caller === capped[0]);
      if (first !== undefined) await capped[0].cancel(first[0]);
      await sleep(5000);
      await waitUntil(() => readCapped() >= 38, 5000, 'using the limit without the store');
    } finally {
      site.store.setFault('none');
    }
    await sleep(1500);
    await site.waitForOwners();
  });

  it('stops the newest idempotent work above a lowered limit in time, and nothing else', async () => {
    // Guards against tasks that go on above a lowered limit, and against stopping non-idempotent work.
    const rosterIds = await submit(capped[0], 'rosters', 'serve', 3);
    await waitUntil(() => countRunning('capped') === 3, 10_000, 'starting rosters');
    await submit(capped[0], 'renders', 'serve', 20);
    await waitUntil(() => readCapped() >= 38, 10_000, 'using the limit');
    site.putDocument(writeDocument(16), 2);
    await waitUntil(() => readCapped() <= 16, 8000, 'shrinking');
    site.monitor.setLimits(new Map([['capped', createLimit(16)]]));
    await sleep(1500);
    expect(readCapped()).to.be.at.most(16);
    for (const id of rosterIds) expect(isRunning(id)).to.equal(true);
    site.monitor.setLimits(new Map([['capped', createLimit(40)]]));
    site.putDocument(writeDocument(40), 3);
    await waitUntil(() => readCapped() >= 38, 10_000, 'using the raised limit');
  });

  it('starts urgent work within 4.4 s when all workers are full, and does not preempt non-idempotent work', async () => {
    // Guards against urgent work that waits for other tasks to end, and against preempting the wrong task.
    await submit(filler[0], 'renders', 'serve', 20);
    await submit(filler[1], 'renders', 'serve', 24);
    await waitUntil(() => countRunning('filler') === 44, 10_000, 'filling the fleet');
    // These newest tasks would be preempted first if they were idempotent.
    const spared = await submit(filler[0], 'rosters', 'serve', 4);
    await waitUntil(() => countRunning('filler') === 48, 10_000, 'starting rosters');
    const rapid = createCaller('rapid', 0);
    const startedAt = performance.now();
    const answers = Array.from({ length: 4 }, () =>
      rapid.submit('renders', {
        size: { ...size, processors: 4 },
        urgent: true,
        command: 'echo now',
      }),
    );
    for (const { view } of await Promise.all(answers)) expect(view.output).to.deep.equal(['now']);
    expect(performance.now() - startedAt).to.be.below(4400);
    for (const id of spared) expect(isRunning(id)).to.equal(true);
    await waitUntil(() => countRunning('filler') === 48, 10_000, 'restarting preempted work');
  });

  it('refuses excess requests early as not run while another team is served', async () => {
    // Guards against unbounded queues, and against excess requests of one team that delay another team.
    const floods = filler.flatMap((caller) =>
      Array.from({ length: 400 }, () =>
        caller.submit('renders', { size, command: 'sleep 300' }, { wait: 0 }),
      ),
    );
    await sleep(300);
    const startedAt = performance.now();
    const answer = await createCaller('rapid', 1).submit('renders', { size, command: 'echo ok' });
    const waitedMs = performance.now() - startedAt;
    const answers = await Promise.all(floods);
    const refused = answers.filter(({ status }) => status === 429);
    for (const { status, view } of answers) {
      if (status !== 429) open.set(view.id, filler[0]);
    }
    expect(answer.view.output).to.deep.equal(['ok']);
    expect(waitedMs).to.be.below(3000);
    expect(refused.length).to.be.above(100);
    for (const { problem, headers } of refused) {
      expect(problem.ran).to.equal('no');
      expect(Number(headers['retry-after'])).to.be.within(1, 30);
    }
  });
});
