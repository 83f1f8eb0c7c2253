import { expect } from 'chai';
import { Caller, createDocument, Site, SteadyLoad, waitUntil } from '../src/index.js';

describe('a shard owner that is killed while the store is slow', () => {
  const site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 3,
    teams: ['broadcast'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('is replaced by a peer that claims the shard in the store', async () => {
    // Guards against a claim that cannot be acquired because its steps take longer than its own lease.
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 6);
    load.addCallers('roster', caller, 'rosters', 3);
    const owner = site.findOwner();
    await waitUntil(() => load.countAnswers('render') >= 20, 10_000, 'the load runs');
    site.store.setFault('none', 800);
    owner?.signal('SIGKILL');
    const killedAt = performance.now();
    const isTakenOver = (): boolean => {
      const current = site.findOwner();
      return current !== undefined && current !== owner;
    };
    await waitUntil(isTakenOver, 20_000, 'a peer owns the shard');
    console.log(`      claimed after ${Math.round(performance.now() - killedAt)} ms`);
    const expectedCount = load.countAnswers('render') + 20;
    await waitUntil(
      () => load.countAnswers('render') >= expectedCount,
      20_000,
      'callers are answered',
    );
    console.log(`      served after ${Math.round(performance.now() - killedAt)} ms`);
    const { answered, refused, failures } = await load.stop();
    console.log(`      answered ${answered}, refused as not run ${refused}`);
    expect(failures).to.deep.equal([]);
    const [successor] = site.schedulers.filter((scheduler) => scheduler !== owner);
    expect(successor?.log.join('\n')).to.not.include('outlasted the lease');
  });
});
