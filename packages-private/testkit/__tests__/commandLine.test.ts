import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { RequestView } from '@toucanline/schema';
import { expect } from 'chai';
import { stringify } from 'smol-toml';
import { Caller, exampleDocument, findFreePort, runCommandLine, Site } from '../src/index.js';

const size = { processors: 16, memoryMb: 2048, accelerators: 0 };

describe('the command line with a trial and a production site', () => {
  const options = {
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 1,
    teams: ['planning'],
  };
  const trial = new Site(options);
  const production = new Site({ ...options, production: true });
  const planning = new Caller(() => production.entries[0]?.url ?? '', 'key-planning');
  const folder = mkdtempSync(join(tmpdir(), 'toucanline-cli-'));
  const settings = join(folder, 'settings.toml');
  const run = (...args: readonly string[]): ReturnType<typeof runCommandLine> =>
    runCommandLine(...args, '--settings', settings);
  const writeDocument = (name: string, text: string): string => {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  };

  before(async () => {
    await Promise.all([trial.start(), production.start()]);
    const silent = `http://127.0.0.1:${await findFreePort()}`;
    const describeSite = (site: Site, ...first: readonly string[]): object => ({
      entries: [...first, ...site.entries.map(({ url }) => url)],
      key: site.operatorKey,
    });
    const content = {
      author: 'ann',
      trial: 'trial',
      production: 'production',
      environments: {
        trial: describeSite(trial),
        // The first entry of production does not answer, so each command has to try the next one.
        production: describeSite(production, silent),
      },
    };
    writeFileSync(settings, stringify(content));
  });

  after(async () => {
    rmSync(folder, { recursive: true });
    await Promise.all([trial.stop(), production.stop()]);
  });

  it('names every error of a document with its line, and exits with 2', async () => {
    const text = exampleDocument.replace('share = 2', 'weight = 2').replace('"gang"', '"mob"');
    const { code, stderr } = await runCommandLine('config', 'check', writeDocument('bad', text));
    expect(code).to.equal(2);
    expect(stderr).to.match(/line 7: teams.planning.weight: found .*unknown key "weight"/);
    expect(stderr).to.match(
      /line 29: queues.gangs.kind: found "mob"; allowed: service, batch, gang/,
    );
    const good = await runCommandLine('config', 'check', writeDocument('good', exampleDocument));
    expect(good.code).to.equal(0);
    for (const name of ['korvaava', 'cascadia']) {
      const { stderr: errors } = await runCommandLine(
        'config',
        'check',
        `docs/examples/${name}.toml`,
      );
      expect(errors).to.equal('');
    }
  });

  it('refuses to promote what was never in effect in the trial environment', async () => {
    const file = writeDocument('untried', exampleDocument.replace('share = 2', 'share = 9'));
    const { code, stderr } = await run('config', 'promote', file, '--yes');
    expect(code).to.equal(3);
    expect(stderr).to.match(/never in effect in the trial environment/);
    expect(stderr).to.match(/config try FILE --yes/);
  });

  it('tries a document, promotes it, refuses a stale one, and undoes it', async () => {
    const text = exampleDocument.replace('processors = 40', 'processors = 16');
    const file = writeDocument('next', text);
    const preview = await run('config', 'try', file);
    expect(preview.code).to.equal(5);
    expect(preview.stdout).to.match(/limit of team planning becomes 16 processors/);
    expect((await run('config', 'try', file, '--yes')).code).to.equal(0);
    const stale = await run('config', 'promote', file, '--yes', '--if-revision', '0');
    expect(stale.code).to.equal(3);
    expect(stale.stderr).to.match(/newest revision is 1 by testkit, not 0/);
    const promoted = await run('config', 'promote', file, '--yes', '--if-revision', '1');
    expect(promoted.code, promoted.stderr).to.equal(0);
    const history = await run('config', 'history', '--environment', 'production');
    expect(history.stdout).to.match(/2 .* ann .* promoted from revision 2 of trial/);
    expect((await run('config', 'undo', '--environment', 'production', '--yes')).code).to.equal(0);
    const status = await run('config', 'status', '--environment', 'production', '--json');
    expect(JSON.parse(status.stdout)).to.deep.include({ newest: 3, unconfirmed: [] });
  });

  it('grants a key that works, shows it once, and withdraws it after a confirmation', async () => {
    const grant = ['key', 'grant', 'cli-1', '--team', 'planning', '--role', 'submit', '--json'];
    const granted = await run(...grant, '--environment', 'production');
    const { key } = JSON.parse(granted.stdout) as { readonly key: string };
    expect(key).to.match(/^[0-9a-f]{64}$/);
    const caller = new Caller(() => production.entries[0]?.url ?? '', key);
    const small = { ...size, processors: 1 };
    expect((await caller.submit('renders', { size: small, command: 'echo x' })).status).to.equal(
      200,
    );
    const list = await run('key', 'list', '--environment', 'production');
    expect(list.stdout).to.match(/cli-1/).and.not.to.include(key);
    const withdraw = ['key', 'withdraw', 'cli-1', '--environment', 'production'];
    expect((await run(...withdraw)).code).to.equal(5);
    expect((await run(...withdraw, '--yes')).code).to.equal(0);
    const refused = await caller.submit('renders', { size: small });
    expect(refused.problem.title).to.equal('withdrawnKey');
  });

  it('explains a waiting request, drains its worker and draws the timeline', async () => {
    const inProduction = ['--environment', 'production'];
    const first = await planning.submit('services', { size, command: 'serve' });
    const second = await planning.submit('renders', { size, command: 'echo x' }, { wait: 0 });
    const why = await run('why', second.view.id, ...inProduction);
    expect(why.stdout).to.match(/is waiting; ran: no/);
    expect(why.stdout).to.match(/All 1 workers that are large enough are full/);
    const drain = ['drain', 'w0-dc1', ...inProduction];
    expect((await run(...drain)).code).to.equal(5);
    expect((await run(...drain, '--yes')).code).to.equal(0);
    expect((await run('workers', ...inProduction)).stdout).to.match(/w0-dc1 .* drained/);
    expect((await run('why', second.view.id, ...inProduction)).stdout).to.match(
      /None of the 0 usable workers/,
    );
    expect((await run(...drain, '--end', '--yes')).code).to.equal(0);
    expect((await run('cancel', first.view.id, ...inProduction)).code).to.equal(0);
    const waited = await run('wait', second.view.id, ...inProduction, '--json');
    expect((JSON.parse(waited.stdout) as RequestView).output).to.deep.equal(['x']);
    const text = await run('timeline', '--request', second.view.id, ...inProduction);
    const names = ['requestRouted', 'requestAdmitted', 'taskStarted', 'requestFinished'];
    const positions = names.map((name) => text.stdout.indexOf(name));
    expect(positions).to.deep.equal([...positions].sort((left, right) => left - right));
    expect(positions).not.to.include(-1);
    const page = join(folder, 'timeline.html');
    expect((await run('timeline', '--html', page, ...inProduction)).code).to.equal(0);
    const html = readFileSync(page, 'utf8');
    expect(html).to.include('class="task"').and.to.include('class="revision"');
    expect(html).not.to.match(/<script|src=|href=/);
  });

  it('names the entries that do not answer and exits with 4', async () => {
    const silent = `http://127.0.0.1:${await findFreePort()}`;
    const file = writeDocument('silent', stringify({ environments: { x: { entries: [silent] } } }));
    const { code, stderr } = await runCommandLine('shards', '--settings', file);
    expect(code).to.equal(4);
    expect(stderr).to.include(`${silent} does not answer: ECONNREFUSED`);
  });
});
