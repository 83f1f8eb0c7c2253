import { expect } from 'chai';
import { Caller, exampleDocument, Site, sleep, waitUntil } from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
/** Longer than the store lease of a claim. */
const outageMs = 4000;

describe('an outage of the store that is longer than the lease of a claim', () => {
  const site = new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 2,
    teams: ['broadcast'],
  });
  const createCaller = (index: number): Caller =>
    new Caller(() => site.entries[index]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());

  it('leaves the shard to its live owner, with the outcomes that the journal lacks', async () => {
    // Guards against an owner that drops the outcomes of the outage when it claims the shard again, and against a
    // peer that takes the shard over at that moment: the outcomes were readable by id until then.
    const ids: string[] = [];
    for (let round = 0; round < 3; round += 1) {
      const owner = site.readOwner();
      site.store.setFault('down');
      await sleep(outageMs);
      const sent = ['renders', 'rosters'].map((queue) =>
        createCaller(0).submit(queue, { size, command: 'echo kept' }, { wait: 10 }),
      );
      for (const { view } of await Promise.all(sent)) {
        expect(view.output).to.deep.equal(['kept']);
        ids.push(view.id);
      }
      site.store.setFault('none');
      await waitUntil(() => site.readOwner() !== '', 10_000, 'the shard is claimed again');
      expect(site.readOwner()).to.equal(owner);
      for (const id of ids) {
        const { view } = await createCaller(1).wait(id, 10);
        expect([view.state, view.output]).to.deep.equal(['succeeded', ['kept']]);
        expect(site.monitor.countStarts(id)).to.equal(1);
      }
    }
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
