import { expect } from 'chai';
import { Caller, createDocument, Site, sleep, waitUntil } from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
/** Longer than the lease of a claim, so that no process considers the store reachable any more. */
const outageMs = 3500;

describe('a graceful shutdown of an entry during a store outage', () => {
  const site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 3,
    teams: ['broadcast'],
  });
  const createCaller = (index: number): Caller =>
    new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('answers each request that the entry holds', async () => {
    // Guards against an entry that waits for the store or drops open requests when it is replaced.
    const [stoppingEntry] = site.entries;
    if (stoppingEntry === undefined) throw new Error('no entry');
    site.store.setFault('down');
    await sleep(outageMs);
    const caller = createCaller(0);
    const answers = Array.from({ length: 20 }, (_, index) =>
      caller.submit(index % 2 === 0 ? 'rosters' : 'renders', {
        size,
        command: `sleep 2500; echo ${index}`,
      }),
    );
    await waitUntil(() => site.monitor.runningTasks.length === 20, 10_000, 'all tasks run');
    stoppingEntry.signal('SIGTERM');
    const outputs = (await Promise.all(answers)).map(({ view }) => view.output?.[0]);
    expect(outputs).to.deep.equal(answers.map((_, index) => String(index)));
    expect(await stoppingEntry.exit).to.equal(0);
    const { view } = await createCaller(1).submit('renders', { size, command: 'echo on' });
    expect(view.output).to.deep.equal(['on']);
  });
});
