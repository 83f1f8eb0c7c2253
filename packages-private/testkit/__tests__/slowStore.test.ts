import { expect } from 'chai';
import { Caller, createDocument, Site, sleep, SteadyLoad } from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
describe('a slow store', () => {
  const site = new Site({
    document: createDocument(['dc1'], { broadcast: { share: 1 } }),
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 3,
    teams: ['broadcast'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
  const readOwner = (): string => site.store.peek('owners/s1').value ?? '';
  const listLosses = (): readonly string[] =>
    site.schedulers.flatMap(({ log }) => log.filter((line) => line.includes('claimLost')));
  const sendDetached = (command: string): ReturnType<Caller['submit']> =>
    caller.submit('rosters', { size, command, detached: 'yes' });
  /**
   * Submits detached requests and returns the number of accepted ones. An accepted request must be in the journal
   * and run once; a refused one must not run.
   */
  const submitDetached = async (count: number): Promise<number> => {
    const answers = await Promise.all(
      Array.from({ length: count }, (_, index) => sendDetached(`echo ${index}`)),
    );
    let accepted = 0;
    for (const [index, { status, view, problem }] of answers.entries()) {
      if (status === 202) {
        accepted += 1;
        expect(view.durable, JSON.stringify(view)).to.equal(true);
        const end = await caller.wait(view.id, 20);
        expect(end.view.output, JSON.stringify(end.view)).to.deep.equal([String(index)]);
        expect(site.monitor.countStarts(view.id)).to.equal(1);
      } else {
        expect(problem.ran, JSON.stringify(problem)).to.equal('no');
        site.monitor.checkNotRun(problem.requestId ?? '');
      }
    }
    return accepted;
  };
  const endLoad = async (load: SteadyLoad): Promise<void> => {
    const { answered, refused, failures } = await load.stop();
    console.log(`      answered ${answered}, refused as not run ${refused}`);
    expect(failures).to.deep.equal([]);
  };
  const startLoad = (): SteadyLoad => {
    const load = new SteadyLoad(site);
    load.addCallers('render', caller, 'renders', 6);
    load.addCallers('roster', caller, 'rosters', 3);
    return load;
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    site.store.setFault('none');
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('of 800 ms per call keeps claims and answers detached requests', async () => {
    // Guards against a claim that is renewed too late, and against a takeover from an owner that is alive.
    const previousOwner = readOwner();
    const load = startLoad();
    site.store.setFault('none', 800);
    await sleep(2000);
    const accepted = await submitDetached(10);
    expect(accepted).to.equal(10);
    await sleep(2000);
    await endLoad(load);
    expect(readOwner()).to.equal(previousOwner);
    expect(listLosses()).to.deep.equal([]);
  });

  it('whose delay grows close to the timeout of a call keeps claims and answers ran: no only if it is true', async () => {
    // Guards against an owner that pauses between renewals, and against answers that a late commit makes false.
    const previousOwner = readOwner();
    const load = startLoad();
    for (const delayMs of [880, 940]) {
      site.store.setFault('none', delayMs);
      await submitDetached(3);
    }
    await endLoad(load);
    expect(readOwner()).to.equal(previousOwner);
    expect(listLosses()).to.deep.equal([]);
  });
});
