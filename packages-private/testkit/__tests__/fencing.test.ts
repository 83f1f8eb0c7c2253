import { expect } from 'chai';
import {
  Caller,
  createDocument,
  FaultProxy,
  Site,
  sleep,
  SteadyLoad,
  waitUntil,
} from '../src/index.js';

describe('an owner that a peer supersedes while it still acts', () => {
  const stores = new Map<string, FaultProxy>();
  const site: Site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 3,
    teams: ['broadcast'],
    findStoreUrl: async (_dataCentre, process) => {
      const proxy = new FaultProxy(() => site.store.address);
      await proxy.start();
      stores.set(process, proxy);
      return `http://${proxy.address}`;
    },
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(async () => {
    await site.stop();
    for (const proxy of stores.values()) proxy.stop();
  });

  it('starts no more tasks once a worker has refused its epoch', async () => {
    // Guards against two owners that act at the same time: the previous one has lost the store but holds the
    // leases of all workers, so only the epoch check of the workers stops it.
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 40, 200);
    load.addCallers('roster', caller, 'rosters', 20, 200);
    await sleep(1000);
    const previous = site.readOwner();
    const owner = site.findOwner();
    stores.get(previous)?.setFault('cut');
    await waitUntil(
      () => !['', previous].includes(site.readOwner()),
      10_000,
      'a peer claims the shard',
    );
    await waitUntil(
      () => owner?.log.some((line) => line.includes('claimLost')) === true,
      3000,
      'the previous owner drops its claim',
    );
    await sleep(1500);
    const { answered, failures } = await load.stop();
    console.log(`      answered ${answered}`);
    expect(failures).to.deep.equal([]);
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
