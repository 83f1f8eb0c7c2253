import { expect } from 'chai';
import { Caller, createDocument, FaultProxy, Site } from '../src/index.js';

const dataCentres = ['dc1', 'dc2'];
const size = { processors: 1, memoryMb: 512, accelerators: 0 };
/** Delay of each message between the new entry and the owner in its data centre. */
const delayMs = 700;

describe('an entry that has just started with real processes', () => {
  const proxies: FaultProxy[] = [];
  const site = new Site({
    document: createDocument(dataCentres, { broadcast: { share: 1 } }),
    dataCentres,
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 1,
    teams: ['broadcast'],
    proxyScheduler: async (address, process) => {
      if (process !== 's0-dc2') return address;
      const proxy = new FaultProxy(() => address);
      await proxy.start();
      proxies.push(proxy);
      return proxy.address;
    },
  });

  before(() => site.start());
  after(async () => {
    await site.stop();
    for (const proxy of proxies) proxy.stop();
  });

  it('is ready once it knows an owner of its own data centre, which gets the first request', async () => {
    // Guards against requests that are routed to another data centre after each restart of an entry.
    for (const proxy of proxies) proxy.setFault('none', delayMs);
    const entry = await site.addEntry('dc2', 'e1-dc2');
    await entry.waitUntilHealthy();
    const caller = new Caller(() => entry.url, 'key-broadcast');
    const { view } = await caller.submit('renders', { size, command: 'echo ok' }, { wait: 10 });
    expect(view.id).to.match(/^s2\./);
    expect(view.output).to.deep.equal(['ok']);
  });
});
