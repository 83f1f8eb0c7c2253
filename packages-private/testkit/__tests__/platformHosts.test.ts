import { expect } from 'chai';
import { PlatformSite } from '../src/PlatformSite.js';
import { sleep } from '../src/sleep.js';
import { waitUntil } from '../src/waitUntil.js';

/** Creates a job of two dependent steps, whose tasks run for a given time. */
const createTwoSteps = (durationMs: number): unknown => ({
  Spec: `ms=${durationMs}`,
  Steps: [
    { Count: 3, Cpu: 500, MemMb: 100, EstimateMs: durationMs },
    { Count: 2, Cpu: 500, MemMb: 100, EstimateMs: durationMs, After: [0] },
  ],
});

const path = (number: number): string => `/renders/${number.toString(16).padStart(16, '0')}`;

describe("hosts on the users' platform", () => {
  let site: PlatformSite;
  const followers = (): PlatformSite['hosts'] => site.hosts.filter((host) => host !== site.leader);

  beforeEach(async () => {
    site = new PlatformSite();
    await site.start(3, 3);
  });

  afterEach(() => {
    site.stop();
  });

  it('run each task of an accepted job once, in the order of its steps, and any host returns its state', async () => {
    const [first, second] = followers();
    expect((await site.call(first, 'POST', path(1), createTwoSteps(60))).status).to.equal(200);
    await site.waitForState(second, path(1), 'completed');
    const done = [...site.countCompletions()];
    expect(done.map(([, count]) => count)).to.deep.equal([1, 1, 1, 1, 1]);
    const records = site.workers.flatMap((worker) => worker.endedRuns);
    const starts = (step: string): readonly number[] =>
      records.filter(({ task }) => task.split('.')[2] === step).map(({ startedAt }) => startedAt);
    expect(Math.min(...starts('1'))).to.be.above(Math.max(...starts('0')) + 55);
    expect((await site.call(second, 'GET', '/renders/')).body.WaitingCount).to.equal(0);
  });

  it('answer invalid calls with the matching status', async () => {
    const [host] = followers();
    const status = async (...call: Parameters<PlatformSite['call']>): Promise<number> =>
      (await site.call(...call)).status;
    expect(await status(host, 'POST', path(1), 'not json')).to.equal(400);
    const cyclic = { Spec: '', Steps: [{ Count: 1, After: [0] }] };
    expect(await status(host, 'POST', path(1), cyclic)).to.equal(400);
    expect(await status(host, 'POST', path(1), createTwoSteps(1), 'key-9')).to.equal(401);
    expect(await status(host, 'POST', '/nowhere/0000000000000001', createTwoSteps(1))).to.equal(
      404,
    );
    expect(await status(host, 'POST', '/renders/', createTwoSteps(1))).to.equal(400);
    expect(await status(host, 'DELETE', '/renders/')).to.equal(400);
    expect(await status(host, 'GET', path(7))).to.equal(410);
    expect(await status(host, 'DELETE', path(7))).to.equal(410);
    expect(await status(host, 'POST', path(1), createTwoSteps(1))).to.equal(200);
    expect(await status(host, 'POST', path(1), createTwoSteps(1))).to.equal(200);
    expect(await status(host, 'POST', path(1), createTwoSteps(2))).to.equal(422);
    expect(await status(host, 'GET', '/open/0000000000000009', undefined, 'none')).to.equal(410);
  });

  // Guards against tasks that are lost or run twice when the leader is killed.
  it('complete running and waiting jobs once after the leader was killed', async () => {
    const [host] = followers();
    for (let number = 1; number <= 10; number += 1) {
      expect((await site.call(host, 'POST', path(number), createTwoSteps(400))).status).to.equal(
        200,
      );
    }
    await waitUntil(
      () => site.workers.some(({ runningTasks }) => runningTasks.length > 0),
      5000,
      'a task runs',
    );
    const previousLeader = site.leader;
    previousLeader?.process.kill('SIGKILL');
    for (let number = 1; number <= 10; number += 1) {
      await site.waitForState(host, path(number), 'completed', 20_000);
    }
    expect(site.leader).not.to.equal(previousLeader);
    const counts = [...site.countCompletions().values()];
    expect(counts).to.have.length(50);
    expect(counts.every((count) => count === 1)).to.equal(true);
  });

  it('stop the tasks of a cancelled job', async () => {
    const [host] = followers();
    await site.call(host, 'POST', path(1), createTwoSteps(60_000));
    await waitUntil(
      () => site.workers.some(({ runningTasks }) => runningTasks.length > 0),
      5000,
      'a task runs',
    );
    expect((await site.call(host, 'DELETE', path(1))).status).to.equal(200);
    await site.waitForState(host, path(1), 'cancelled');
    await waitUntil(
      () => site.workers.every(({ runningTasks }) => runningTasks.length === 0),
      3000,
      'nothing runs',
    );
  });

  it('refuse a withdrawn key within two seconds', async () => {
    const [host] = followers();
    expect((await site.call(host, 'GET', '/renders/', undefined, 'key-2')).status).to.equal(200);
    site.writeConfiguration(['key-1']);
    await sleep(2000);
    for (const each of site.hosts) {
      expect((await site.call(each, 'GET', '/renders/', undefined, 'key-2')).status).to.equal(401);
    }
  });

  // Guards against ambiguous answers: 503 has to mean that the job was not accepted and never runs.
  it('refuse jobs as not run while the store is down, and resume afterwards', async () => {
    const [host] = followers();
    await site.call(host, 'POST', path(1), createTwoSteps(100));
    site.store.setFault('down');
    // Longer than the wait of a watch: by then each host has detected the outage.
    await sleep(2000);
    expect((await site.call(host, 'POST', path(1), createTwoSteps(100))).status).to.equal(200);
    expect((await site.call(host, 'POST', path(2), createTwoSteps(50))).status).to.equal(503);
    site.store.setFault('none');
    site.store.compact();
    await site.waitForState(host, path(1), 'completed', 20_000);
    expect((await site.call(host, 'GET', path(2))).status).to.equal(410);
    expect((await site.call(host, 'POST', path(2), createTwoSteps(50))).status).to.equal(200);
    await site.waitForState(host, path(2), 'completed', 20_000);
    expect([...site.countCompletions().values()].every((count) => count === 1)).to.equal(true);
  });

  // Guards against an interruption of a whole lease at each planned restart.
  it('hand over within a second when the leader gets SIGTERM', async () => {
    const [host] = followers();
    const previousLeader = site.leader;
    await site.call(host, 'POST', path(1), createTwoSteps(1500));
    previousLeader?.process.kill('SIGTERM');
    await waitUntil(
      () => site.leader !== undefined && site.leader !== previousLeader,
      1000,
      'another host leads',
    );
    expect((await site.call(previousLeader, 'GET', path(1))).status).to.equal(200);
    await site.waitForState(host, path(1), 'completed', 15_000);
    expect([...site.countCompletions().values()]).to.deep.equal([1, 1, 1, 1, 1]);
  });

  // Guards against a leader, or a host that answers callers, that was paused for seconds and acts on a lease, or on a
  // confirmed configuration, that ran out meanwhile.
  it('act on nothing that ran out while they were paused', async () => {
    const paused = site.leader;
    if (paused === undefined) throw new Error('the site has no leader');
    expect((await site.call(paused, 'POST', path(1), createTwoSteps(1500))).status).to.equal(200);
    await sleep(200);
    paused.process.kill('SIGSTOP');
    await waitUntil(
      () => site.leader !== undefined && site.leader !== paused,
      10_000,
      'a takeover',
    );
    const [caller] = followers().filter((host) => host !== paused);
    expect((await site.call(caller, 'POST', path(2), createTwoSteps(300))).status).to.equal(200);
    site.writeConfiguration(['key-2']);
    await sleep(6000);
    const late = site.call(paused, 'POST', path(3), createTwoSteps(10), 'key-1');
    await sleep(50);
    paused.process.kill('SIGCONT');
    expect((await late).status).to.be.oneOf([401, 503]);
    const isCompleted = async (number: number): Promise<boolean> =>
      (await site.call(caller, 'GET', path(number), undefined, 'key-2')).body.State === 'completed';
    await waitUntil(() => isCompleted(1), 15_000, 'the first job is completed');
    await waitUntil(() => isCompleted(2), 15_000, 'the second job is completed');
    expect(site.leader).not.to.equal(paused);
    expect([...site.countCompletions().values()]).to.deep.equal(Array<number>(10).fill(1));
    expect(paused.process.exitCode).to.equal(null);
  });

  // Guards against a key that was withdrawn, or a worker that has left, and is in use again after a restart.
  it('use no withdrawn key and no worker that has left after each was restarted', async () => {
    const [gone] = site.workers;
    if (gone === undefined) throw new Error('the site has no worker');
    const countStarts = (): number => gone.endedRuns.length;
    site.writeConfiguration(['key-2']);
    site.store.remove(`servers/${gone.id}`);
    await sleep(500);
    const startsBefore = countStarts();
    for (const host of [...site.hosts]) {
      const restarted = await site.restartHost(host);
      const refused = await site.call(restarted, 'POST', path(1), createTwoSteps(10), 'key-1');
      expect(refused.status).to.equal(401);
    }
    await waitUntil(() => site.leader !== undefined, 10_000, 'a leader is elected');
    const [caller] = site.hosts;
    for (let number = 2; number < 6; number += 1) {
      const accepted = await site.call(caller, 'POST', path(number), createTwoSteps(10), 'key-2');
      expect(accepted.status).to.equal(200);
    }
    await waitUntil(
      async () =>
        (await site.call(caller, 'GET', path(5), undefined, 'key-2')).body.State === 'completed',
      15_000,
      'the last job is completed',
    );
    expect(countStarts()).to.equal(startsBefore);
  });

  // Guards against processes that end, or stop following the list of workers, after one odd entry of another writer.
  it('keep following the workers beside odd entries, through a change of the leader', async () => {
    const depth = 100_000;
    const nested = '['.repeat(depth) + ']'.repeat(depth);
    const listed = JSON.stringify(site.workers[0]?.serverRecord);
    const oddEntries = [
      nested,
      listed.replace(/"Service":"[^"]*"/, `"Service":${nested}`),
      listed.replace(/"Address":"[^"]*"/, '"Address":"127.0.0.1:99999"'),
      listed.replace(/"Address":"[^"]*"/, '"Address":"127.0.0.1:-1"'),
      listed.replace(/"born":\d+/, '"born":1e999'),
      listed.replace(/"Cpu":\d+/, '"Cpu":1e300'),
      `{"Service":"${'x'.repeat(500_000)}"`,
    ];
    const writeOddEntries = (): void => {
      for (const [index, text] of oddEntries.entries())
        site.store.putBytes(`servers/odd-${index}`, Buffer.from(text));
      site.store.putBytes('servers/odd bytes', Buffer.from([0xff, 0x00, 0xfe]));
    };
    writeOddEntries();
    await sleep(300);
    const [host] = followers();
    expect((await site.call(host, 'POST', path(1), createTwoSteps(40))).status).to.equal(200);
    await site.waitForState(host, path(1), 'completed');
    const { leader } = site;
    writeOddEntries();
    leader?.process.kill('SIGKILL');
    await waitUntil(
      () => site.leader !== undefined && site.leader !== leader,
      10_000,
      'a new leader',
    );
    const survivors = site.hosts.filter((each) => each !== leader);
    for (const each of survivors) expect(each.process.exitCode).to.equal(null);
    const [caller] = survivors;
    expect((await site.call(caller, 'POST', path(2), createTwoSteps(40))).status).to.equal(200);
    await site.waitForState(caller, path(2), 'completed', 5000);
    expect([...site.countCompletions().values()].every((count) => count === 1)).to.equal(true);
    const roster = JSON.stringify(site.store.get('toucanline/roster'));
    expect(roster).to.include('"w1"').and.not.to.include('odd');
  });
});

describe('hosts that differ in their resources', () => {
  // Guards against a leader on a host whose link cannot carry the stored state, while a fitter host is there.
  it('let the fittest host lead, also after it was started last or its predecessor was killed', async () => {
    const site = new PlatformSite();
    try {
      await site.start(4, 1, [10, 10]);
      const fittest = site.hosts.slice(2);
      const isFit = (): boolean => fittest.some((host) => host === site.leader);
      await waitUntil(isFit, 5000, 'a fit host leads');
      const first = site.leader;
      first?.process.kill('SIGKILL');
      await waitUntil(
        () => site.leader !== undefined && site.leader !== first,
        5000,
        'a new leader is elected',
      );
      expect(isFit()).to.equal(true);
      site.leader?.process.kill('SIGKILL');
      const rest = site.hosts.slice(0, 2);
      await waitUntil(
        () => rest.some((host) => host === site.leader),
        6000,
        'another host leads when no fit one is left',
      );
    } finally {
      site.stop();
    }
  });
});
