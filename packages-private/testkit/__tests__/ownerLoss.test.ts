import type { Claim, Event, SiteStatus } from '@toucanline/schema';
import { expect } from 'chai';
import { Caller, exampleDocument, Site, sleep, waitUntil } from '../src/index.js';

const extraQueues = ['extracts', 'previews', 'exports'];
const document =
  exampleDocument.replace('limit = {', '# limit = {') +
  extraQueues.map((name) => `\n[queues.${name}]\nkind = "batch"\nidempotent = true\n`).join('');
const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const whole = { processors: 16, memoryMb: 512, accelerators: 0 };
/** Longest time until the owner has written a change to its record in the store. */
const recordMs = 1500;
/** Time during which events are collected for the peers, and a margin for the messages. */
const batchMs = 200;
const marginMs = 150;
const failoverMs = 10_000;

describe('the records of a killed owner with real processes', () => {
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 3,
    workersPerDataCentre: 5,
    teams: ['planning', 'broadcast'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');

  const readEvents = async (process: string): Promise<readonly Event[]> => {
    const { view } = await caller.send('GET', '/v1/events', undefined, site.operatorHeaders);
    const { events } = view as unknown as { readonly events: readonly Event[] };
    return events.filter((event) => event.process === process);
  };
  /** Kills the owner of the shard, waits for the next one and returns the name of the killed process. */
  const killOwner = async (): Promise<string> => {
    // On a busy machine the lease of an owner may expire, and then there is none for a moment.
    await waitUntil(() => site.readOwner() !== '', failoverMs, 'the shard has an owner');
    const killed = site.readOwner();
    const daemon = site.findOwner();
    daemon?.signal('SIGKILL');
    await daemon?.exit;
    site.hostList.remove(killed);
    const isReplaced = (): boolean => ![killed, ''].includes(site.readOwner());
    await waitUntil(isReplaced, failoverMs, 'the shard has another owner');
    return killed;
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('include its claim and the ends of requests in its last second, once each', async () => {
    // Guards against a timeline that lacks the events of the very process that an operator inspects.
    const ids: string[] = [];
    for (let index = 0; index < 3; index += 1) {
      ids.push((await caller.submit('renders', { size, command: 'echo ok' })).view.id);
    }
    await sleep(batchMs + marginMs);
    const { epoch, owner } = JSON.parse(site.store.peek('claims/s1').value ?? '{}') as Claim;
    const killed = await killOwner();
    expect(killed).to.equal(owner);
    let events: readonly Event[] = [];
    // The entry omits a scheduler that does not answer in time.
    await waitUntil(
      async () => (events = await readEvents(killed)).length > 0,
      failoverMs,
      `peers show events of ${killed}`,
    );
    const claims = events.filter(({ name }) => name === 'claimTaken');
    const epochs = claims.map((claim) => `${claim.shard ?? ''} ${claim.epoch ?? 0}`);
    expect(epochs).to.deep.equal([`s1 ${epoch}`]);
    const ends = events.filter(({ name }) => name === 'requestFinished');
    expect(ends.map(({ requestId }) => requestId)).to.deep.equal(ids);
    for (const { keptBy } of events) expect(keptBy).to.be.a('string').and.not.equal(killed);
  });

  it('tell the next owner which worker is in quarantine', async () => {
    // Guards against a worker that fails all its tasks and gets new ones after each takeover.
    const [broken] = site.workers;
    const planning = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
    const callers = [planning, caller];
    const queues = ['renders', ...extraQueues];
    const listQuarantined = async (owner: string): Promise<readonly string[]> => {
      const { processes } = (await site.readStatus()) as SiteStatus;
      const shards = processes.flatMap((each) => (each.process === owner ? each.shards : []));
      const workers = shards.flatMap((shard) => (shard.recovering ? [] : shard.workers));
      return workers.flatMap(({ quarantined, worker }) => (quarantined ? [worker] : []));
    };
    const isQuarantined = async (): Promise<boolean> =>
      (await listQuarantined(site.readOwner())).join() === broken?.options.id;
    broken?.setFaulty(true);
    let next = 0;
    let isFound = false;
    const submit = async (): Promise<void> => {
      while (!isFound) {
        const index = next;
        next += 1;
        const command = `sleep 60; echo part${index}`;
        await callers[index % 2]?.submit(queues[(index >> 1) % 4] ?? '', { size: whole, command });
      }
    };
    const work = Array.from({ length: 12 }, submit);
    await waitUntil(isQuarantined, 10_000, 'the worker is in quarantine').finally(() => {
      isFound = true;
    });
    await Promise.all(work);
    await sleep(recordMs);
    // Otherwise the first report would tell the next owner the failures again.
    broken?.forgetEndedTasks();
    await killOwner();
    await waitUntil(isQuarantined, failoverMs, 'the worker is in quarantine at the next owner');
    const answers = Array.from({ length: 10 }, (_, index) =>
      caller.submit('renders', { size: whole, command: `echo ${index}` }),
    );
    for (const { view } of await Promise.all(answers)) expect(view.state).to.equal('succeeded');
    expect(broken?.failedCount).to.equal(0);
  });
});
