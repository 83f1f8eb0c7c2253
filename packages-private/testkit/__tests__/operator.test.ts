import { createHash } from 'node:crypto';
import type { ConfigurationChange, ProcessStatus, SiteStatus } from '@toucanline/schema';
import { expect } from 'chai';
import { Caller, exampleDocument, Site, sleep } from '../src/index.js';

const size = { processors: 2, memoryMb: 2048, accelerators: 0 };
const wholeWorker = { processors: 16, memoryMb: 2048, accelerators: 0 };

const waitFor = async (condition: () => Promise<boolean>, timeoutMs: number): Promise<number> => {
  const startedAt = performance.now();
  while (performance.now() - startedAt < timeoutMs) {
    if (await condition()) return performance.now() - startedAt;
    await sleep(20);
  }
  throw new Error(`the condition did not hold within ${timeoutMs} ms`);
};

const readProcesses = async (site: Site): Promise<readonly ProcessStatus[]> => {
  const each = await Promise.all(
    site.entries.map((entry) => site.readStatus(entry) as Promise<SiteStatus>),
  );
  return each.flatMap(({ processes }) => processes);
};

const readPercentile = (values: readonly number[], part: number): number =>
  [...values].sort((left, right) => left - right)[Math.ceil(values.length * part) - 1] ?? Infinity;

/** Creates a function that sends requests to an entry as the operator. */
const createOperator =
  (site: Site, entry = 0) =>
  (method: string, path: string, body?: unknown): ReturnType<Caller['send']> =>
    new Caller(() => site.entries[entry]?.url ?? '').send(
      method,
      path,
      body === undefined ? undefined : JSON.stringify(body),
      site.operatorHeaders,
    );

describe('operators at a site with real processes', () => {
  const site = new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 1,
    teams: ['planning', 'broadcast', 'public'],
  });
  const planning = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
  const broadcast = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
  const operate = createOperator(site);
  const operateElsewhere = createOperator(site, 1);
  let count = 0;

  const readRevision = async (): Promise<number> => {
    const { view } = await operate('GET', '/v1/configuration');
    return (view as unknown as { readonly revision: number }).revision;
  };
  const createChange = (ifRevision: number, share: number): ConfigurationChange => {
    count += 1;
    return {
      ifRevision,
      text: exampleDocument.replace('share = 2', `share = ${share}`),
      author: `operator ${count}`,
      token: `token${count}`,
    };
  };

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('lets one of two operators win a race and shows the other what changed', async () => {
    const revision = await readRevision();
    const [left, right] = await Promise.all([
      operate('PUT', '/v1/configuration', createChange(revision, 3)),
      operateElsewhere('PUT', '/v1/configuration', createChange(revision, 4)),
    ]);
    const [winner, loser] = left.status === 200 ? [left, right] : [right, left];
    expect(winner.status).to.equal(200);
    expect(loser.problem).to.include({ status: 409, title: 'staleRevision', ran: 'no' });
    expect(loser.problem.current?.revision).to.equal(revision + 1);
    expect(loser.problem.current?.author).to.match(/^operator \d \(key operator\)$/);
    expect(loser.problem.current?.changes.join()).to.match(/teams.planning.share: 2 -> [34]/);
  });

  it('answers a change whose store response was lost, and applies its token once', async () => {
    const change = createChange(await readRevision(), 5);
    site.store.setFault('loseAnswers');
    const first = await operate('PUT', '/v1/configuration', change);
    site.store.setFault('none');
    const second = await operateElsewhere('PUT', '/v1/configuration', change);
    expect([first.status, second.status]).to.deep.equal([200, 200]);
    expect(await readRevision()).to.equal(change.ifRevision + 1);
  });

  it('refuses bad documents, keeps the revision in effect and names every error', async () => {
    const revision = await readRevision();
    const texts = [
      exampleDocument.replace('schema = 1', 'schema = 2'),
      exampleDocument.replace('share = 2', 'weight = 2'),
      `${exampleDocument}# ${'x'.repeat(900_000)}`,
      `${exampleDocument}\n[teams.planning]\nshare = 1\n`,
    ];
    for (const text of texts) {
      const { problem } = await operate('PUT', '/v1/configuration', {
        ...createChange(revision, 1),
        text,
      });
      expect(problem).to.include({ status: 422, title: 'invalidDocument' });
      expect(problem.invalid).not.to.have.length(0);
    }
    expect(await readRevision()).to.equal(revision);
  });

  it('serves what its OpenAPI document describes, and nothing else', async () => {
    const { view } = await operate('GET', '/openapi.json');
    const { paths } = view as unknown as {
      readonly paths: Readonly<Record<string, Readonly<Record<string, object>>>>;
    };
    const missing: string[] = [];
    for (const [path, operations] of Object.entries(paths)) {
      for (const method of Object.keys(operations)) {
        const url = path.replace(/\{\w+\}/g, '1');
        // Without a key each route returns a problem of its own; an unknown path returns 404 without a kind.
        const keyless = new Caller(() => site.entries[0]?.url ?? '');
        const response = await keyless
          .send(method.toUpperCase(), url)
          .catch(() => ({ status: 404, problem: {} }));
        if (response.status === 404 && !('title' in response.problem)) missing.push(path);
      }
    }
    expect(missing).to.deep.equal([]);
    const wanted = ['/v1/configuration', '/v1/keys/{id}', '/v1/queues/{queue}/requests'];
    expect(paths).to.include.keys(...wanted);
  });

  it('refuses operators without the role', async () => {
    const response = await planning.send('PUT', '/v1/configuration', '{}');
    expect(response.problem).to.include({ status: 403, title: 'forbidden', ran: 'no' });
    expect((await planning.send('GET', '/v1/keys')).status).to.equal(403);
  });

  it('answers waiting requests of a withdrawn key as not run and refuses new ones', async () => {
    const blocker = await planning.submit('services', { size: wholeWorker, command: 'serve' });
    expect(blocker.view.state).to.equal('running');
    const waiting = broadcast.submit('renders', { size: wholeWorker, command: 'echo never' });
    await waitFor(async () => {
      const processes = await readProcesses(site);
      return processes.some(({ shards }) => shards.some((shard) => shard.waiting === 1));
    }, 5000);
    const startedAt = performance.now();
    expect((await operate('DELETE', '/v1/keys/k-broadcast')).status).to.equal(200);
    const answer = await waiting;
    expect(answer.problem).to.include({ status: 401, title: 'withdrawnKey', ran: 'no' });
    expect(performance.now() - startedAt).to.be.below(3000);
    const refused = await new Caller(() => site.entries[1]?.url ?? '', 'key-broadcast').submit(
      'renders',
      { size },
    );
    expect(refused.problem).to.include({ title: 'withdrawnKey', ran: 'no' });
    await planning.cancel(blocker.view.id);
    await planning.wait(blocker.view.id, 5);
  });

  it('applies 30 configuration and 30 key changes in every process in time', async () => {
    const measure = async (
      change: () => Promise<void>,
      isApplied: (process: ProcessStatus) => boolean,
    ): Promise<number> => {
      await change();
      return waitFor(async () => (await readProcesses(site)).every(isApplied), 8000);
    };
    const configurationMs: number[] = [];
    const keysMs: number[] = [];
    for (let index = 0; index < 30; index += 1) {
      const revision = await readRevision();
      const put = async (): Promise<void> => {
        const result = await operate(
          'PUT',
          '/v1/configuration',
          createChange(revision, index + 10),
        );
        expect(result.status).to.equal(200);
      };
      configurationMs.push(
        await measure(put, ({ configurationRevision }) => configurationRevision > revision),
      );
      const { view } = await operate('GET', '/v1/keys');
      const before = (view as unknown as { readonly revision: number }).revision;
      const hash = createHash('sha256').update(String(index)).digest('hex');
      const grant = { id: `extra${index}`, hash, team: 'public', roles: ['submit'] };
      const post = async (): Promise<void> => {
        expect((await operate('POST', '/v1/keys', grant)).status).to.equal(200);
      };
      keysMs.push(await measure(post, ({ keysRevision }) => keysRevision > before));
    }
    const configuration = readPercentile(configurationMs, 0.99);
    const keys = readPercentile(keysMs, 0.99);
    console.log(`      p99 in effect: configuration ${configuration} ms, keys ${keys} ms`);
    expect(configuration).to.be.below(5000);
    expect(keys).to.be.below(3000);
  });

  it('drains a worker and ends the drain', async () => {
    const readState = async (): Promise<string | undefined> =>
      (await readProcesses(site)).flatMap(({ shards }) => shards)[0]?.workers[0]?.state;
    expect((await operate('POST', '/v1/workers/w0-dc1/drain')).status).to.equal(200);
    expect(await readState()).to.equal('drained');
    const { view } = await planning.submit('renders', { size, command: 'echo x' }, { wait: 0 });
    expect(view.state).to.equal('waiting');
    expect((await operate('DELETE', '/v1/workers/w0-dc1/drain')).status).to.equal(200);
    expect((await planning.wait(view.id, 5)).view.output).to.deep.equal(['x']);
    expect((await operate('POST', '/v1/workers/w9/drain')).problem.title).to.equal('unknownWorker');
  });

  it('lets a process that starts without the store read configuration and keys from a peer', async () => {
    site.store.setFault('down');
    try {
      const entry = await site.addEntry('dc1', 'late-entry');
      await entry.waitUntilHealthy();
      const late = new Caller(() => entry.url, 'key-planning');
      await waitFor(async () => {
        const { status } = await late.submit('renders', { size, command: 'echo y' });
        return status === 200;
      }, 8000);
    } finally {
      site.store.setFault('none');
    }
  });
});

describe('an entry that is cut off from the store', () => {
  const document = exampleDocument.replace(
    '[queues.renders]\n',
    '[queues.renders]\nkeyGraceSeconds = 0\n',
  );
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 1,
    teams: ['planning'],
  });
  const planning = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');

  before(() => site.start());
  after(() => site.stop());

  it('refuses keys as not run after the grace period of the queue, and serves other queues', async () => {
    // While the store is reachable, even the shortest grace period refuses no key.
    let last = await planning.submit('renders', { size, command: 'echo x' });
    const endsAt = performance.now() + 4000;
    while (performance.now() < endsAt) {
      last = await planning.submit('renders', { size, command: 'echo x' });
      expect(last.status, last.problem.detail).to.equal(200);
      await sleep(50);
    }
    site.store.setFault('down');
    await waitFor(async () => {
      last = await planning.submit('renders', { size, command: 'echo x' });
      return last.status !== 200;
    }, 15_000);
    expect(last.problem).to.include({ status: 503, title: 'notReady', ran: 'no' });
    expect((await planning.submit('rosters', { size, command: 'echo x' })).status).to.equal(200);
    site.store.setFault('none');
    await waitFor(async () => {
      const { status } = await planning.submit('renders', { size, command: 'echo x' });
      return status === 200;
    }, 10_000);
  });

  it('is not ready when it never received a configuration', async () => {
    site.store.setFault('down');
    for (const scheduler of site.schedulers) scheduler.signal('SIGKILL');
    const entry = await site.addEntry('dc1', 'lonely');
    await entry.waitUntilHealthy('/livez');
    expect((await fetch(`${entry.url}/readyz`)).status).to.equal(503);
    const { problem } = await new Caller(() => entry.url, 'key-planning').submit('renders', {
      size,
    });
    expect(problem).to.include({ status: 503, title: 'notReady', ran: 'no' });
    site.store.setFault('none');
    await entry.waitUntilHealthy();
  });
});
