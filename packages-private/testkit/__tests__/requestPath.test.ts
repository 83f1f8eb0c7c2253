import { expect } from 'chai';
import { Caller, exampleDocument, Site } from '../src/index.js';

const size = { processors: 2, memoryMb: 2048, accelerators: 0 };

describe('the path from caller to worker with real processes', () => {
  const site = new Site({
    document: exampleDocument,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 2,
    schedulersPerDataCentre: 2,
    workersPerDataCentre: 3,
    teams: ['planning', 'broadcast'],
  });
  const planning = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
  const planningElsewhere = new Caller(() => site.entries[1]?.url ?? '', 'key-planning');
  const broadcast = new Caller(() => site.entries[1]?.url ?? '', 'key-broadcast');

  before(() => site.start());
  after(() => site.stop());
  afterEach(() => {
    expect(site.monitor.violations).to.deep.equal([]);
  });

  it('answers a service once all its tasks run, with their workers', async () => {
    const { status, view } = await planning.submit('services', {
      size,
      tasks: 2,
      command: 'serve',
    });
    expect(status).to.equal(200);
    expect(view.tasks.map(({ state }) => state)).to.deep.equal(['running', 'running']);
    expect((await planning.cancel(view.id)).status).to.be.oneOf([200, 202]);
    expect((await planning.wait(view.id, 5)).view.state).to.equal('cancelled');
  });

  it('answers a gang with the output of every task', async () => {
    const { view } = await planning.submit('gangs', { size, tasks: 3, command: 'echo part' });
    expect(view.output).to.deep.equal(['part', 'part', 'part']);
  });

  it('runs a repeated POST with the same idempotency key once', async () => {
    const specification = { size, command: 'sleep 50; echo sheet' };
    const options = { idempotencyKey: 'sheet-1' };
    const answers = await Promise.all([
      planning.submit('rosters', specification, options),
      planningElsewhere.submit('rosters', specification, options),
    ]);
    const ids = new Set(answers.map(({ view }) => view.id));
    expect(ids.size).to.equal(1);
    expect(answers.map(({ view }) => view.output)).to.deep.equal([['sheet'], ['sheet']]);
    expect(site.monitor.countStarts(answers[0].view.id)).to.equal(1);
    const conflict = await planning.submit('rosters', { size, command: 'echo other' }, options);
    expect(conflict.problem).to.include({ status: 422, title: 'conflictingKey', ran: 'no' });
  });

  it('returns each answer to its own caller when requests end in another order', async () => {
    const delays = [120, 10, 80, 40, 0, 100, 20, 60];
    const answers = await Promise.all(
      delays.map((delay, index) =>
        (index % 2 === 0 ? planning : broadcast).submit('renders', {
          size,
          command: `sleep ${delay}; echo answer ${index}`,
        }),
      ),
    );
    const outputs = answers.map(({ view }) => view.output?.[0]);
    expect(outputs).to.deep.equal(delays.map((_, index) => `answer ${index}`));
  });

  it('accepts a request to an open queue without a key, and returns its state without one', async () => {
    const keyless = new Caller(() => site.entries[0]?.url ?? '');
    const { status, view } = await keyless.submit('open', { size, command: 'echo public' });
    expect([status, view.output]).to.deep.equal([200, ['public']]);
    expect((await keyless.wait(view.id, 0)).view.state).to.equal('succeeded');
  });

  it('lets a caller go on waiting for a request at another entry', async () => {
    const { status, view } = await planning.submit(
      'renders',
      { size, command: 'sleep 600; echo later' },
      { wait: 0.1 },
    );
    expect(status).to.equal(202);
    const answer = await planningElsewhere.wait(view.id, 10);
    expect([answer.status, answer.view.output]).to.deep.equal([200, ['later']]);
  });

  it('hides the requests of one team from another', async () => {
    const { view } = await planning.submit('renders', { size, command: 'echo secret' });
    expect((await broadcast.wait(view.id, 0)).problem.title).to.equal('unknownRequest');
    expect((await broadcast.cancel(view.id)).problem.title).to.equal('unknownRequest');
  });

  it('refuses invalid input as not run', async () => {
    const keyless = new Caller(() => site.entries[0]?.url ?? '');
    const stranger = new Caller(() => site.entries[0]?.url ?? '', 'wrong');
    const post = (body: string): ReturnType<Caller['send']> =>
      planning.send('POST', '/v1/queues/renders/requests', body);
    const answers = await Promise.all([
      keyless.submit('renders', { size }),
      stranger.submit('renders', { size }),
      planning.submit('nowhere', { size }),
      post('{'),
      post(JSON.stringify({ size, surprise: 1 })),
      post(JSON.stringify({ size: { ...size, processors: -1 } })),
      post(JSON.stringify({ size, command: 'x'.repeat(300_000) })),
      planning.submit('renders', { size: { ...size, processors: 17 } }),
      planning.submit('renders', { size, deadlineSeconds: -5 }),
    ]);
    expect(answers.map(({ problem }) => `${problem.status} ${problem.title}`)).to.deep.equal([
      '401 unauthenticated',
      '401 unauthenticated',
      '404 unknownQueue',
      '400 malformedRequest',
      '400 malformedRequest',
      '400 malformedRequest',
      '413 bodyTooLarge',
      '422 neverFits',
      '504 deadlinePassed',
    ]);
    expect(new Set(answers.map(({ problem }) => problem.ran))).to.deep.equal(new Set(['no']));
    expect(site.entries[0]?.log.join('\n')).not.to.include('key-planning');
  });

  it('answers all open requests when an entry is stopped under load', async () => {
    const [, second] = site.entries;
    const answers = Array.from({ length: 10 }, (_, index) =>
      broadcast.submit('renders', { size, command: `sleep 800; echo ${index}` }),
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    second?.signal('SIGTERM');
    const outputs = (await Promise.all(answers)).map(({ view }) => view.output?.[0]);
    expect(outputs).to.deep.equal(answers.map((_, index) => String(index)));
    expect(await second?.exit).to.equal(0);
  });
});
