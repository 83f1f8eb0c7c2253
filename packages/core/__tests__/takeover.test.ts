import type { AcceptedEntry, JournalEntry, Request, Takeovers } from '@toucanline/schema';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  ClaimManager,
  ReleaseDetector,
  Journal,
  listJournaledRequests,
  listReleasedQueues,
  periods,
  ReleaseTermsManager,
  ShardTakeover,
  TakeoverIndex,
  TakeoverEditor,
} from '../src/index.js';
import { DriftingClock } from './DriftingClock.js';
import { createParts } from './createParts.js';
import { ShardHarness } from './ShardHarness.js';

const createRequest = (id: string, queue: string, idempotent: boolean): Request => ({
  id,
  digest: id,
  team: 'a',
  queue,
  kind: 'batch',
  idempotent,
  urgent: false,
  checkpointable: false,
  detached: true,
  tasks: 1,
  size: { processors: 1, memoryMb: 1, accelerators: 0 },
  command: '',
  runTimeMs: 1000,
});

const accept = (id: string, queue: string, idempotent = true): AcceptedEntry => ({
  entry: 'accepted',
  request: createRequest(id, queue, idempotent),
  deadlineAtMs: 1e9,
});

/** An attached request that was written after its start, when its caller stopped to wait. */
const keep = (id: string, queue: string): JournalEntry => ({
  entry: 'accepted',
  request: { ...createRequest(id, queue, false), detached: false },
  deadlineAtMs: 1e9,
});

const intend = (id: string): JournalEntry => ({
  entry: 'intent',
  requestId: id,
  taskId: `${id}/0/1.1`,
  worker: 'w0',
  epoch: 1,
});

/** A store in which the owner of s2 left a journal, allotments and release terms, and then fell silent. */
const createLostShard = async (entries: readonly JournalEntry[]) => {
  const clock = new DriftingClock();
  const parts = createParts(clock);
  const { store, random } = parts;
  const owner = new ClaimManager(parts, 's2', 'p2', 'address');
  const { epoch } = (await owner.acquire())._unsafeUnwrap();
  const journal = new Journal(store, clock, random, 's2', epoch);
  (await journal.open())._unsafeUnwrap();
  for (const entry of entries) (await journal.append(entry))._unsafeUnwrap();
  const amount = { processors: 5, memoryMb: 5, accelerators: 0 };
  const allotments = {
    revision: 1,
    token: 't',
    epochs: { s2: epoch },
    teams: { a: { s1: amount, s2: amount } },
  };
  await store.write('allotments', JSON.stringify(allotments), 0);
  const terms = new ReleaseTermsManager(parts, 's2');
  expect(await terms.write(new Map([['q', 5000]]))).to.equal(true);
  clock.advance(periods.claimLeaseMs + 1);
  for (const successor of ['s1', 's3']) await store.write(`owners/${successor}`, 'owner', 0);
  const editor = new TakeoverEditor(parts);
  const createTakeover = (process: string): ShardTakeover =>
    new ShardTakeover({ ...parts, process, address: 'address' }, 's2');
  const byTime = {
    reason: 'time',
    queues: new Set(['q']),
    epoch,
    formerEpoch: epoch,
    termsVersion: terms.version,
  } as const;
  return { ...parts, clock, owner, journal, editor, createTakeover, byTime, terms };
};

const readBook = async (editor: TakeoverEditor): Promise<Takeovers> =>
  (await editor.read())._unsafeUnwrap().record;

describe('the time after which a cut-off data centre gives work up', () => {
  it('is over on the lost side, with all worker leases, before others count it as over', () => {
    // Guards against a takeover while a worker still runs the task, whatever the clocks do.
    const rate = fc.double({ min: 0.99, max: 1.01, noNaN: true });
    const times = fc.integer({ min: 5000, max: 3_600_000 });
    fc.assert(
      fc.property(rate, rate, times, fc.nat(5000), (lost, other, releaseMs, seenAfter) => {
        const releases = new Map([['q', releaseMs]]);
        const givenUp = (at: number): boolean =>
          listReleasedQueues({ releases, published: new Map(), contactAt: 0, now: at * lost })
            .size > 0;
        // The owner looks four times a second and then needs time to stop the tasks; a worker that does
        // not answer keeps its last lease, on a clock with its own drift.
        const releasedAt = Math.ceil(releaseMs / lost) + 250;
        expect(givenUp(releasedAt)).to.equal(true);
        const lastLeaseEnds =
          releasedAt + (periods.releaseStopMs + periods.workerLeaseMs) / 0.99 + 250;
        const watch = new ReleaseDetector();
        const seen = { isClaimed: false, epoch: 1, termsVersion: 1, published: releases };
        const since = periods.claimLeaseMs * 0.99 + seenAfter;
        expect(watch.observe(seen, since * other).size).to.equal(0);
        expect(watch.observe(seen, Math.max(since, lastLeaseEnds) * other).size).to.equal(0);
        const late = (since + ReleaseDetector.calculateWaitMs(releaseMs) / other + 1) * other;
        expect(watch.observe(seen, late).size).to.equal(1);
      }),
    );
  });

  it('starts again when an owner was back or promised something else', () => {
    // Guards against time that is counted over a contact of the owner.
    const published = new Map([['q', 5000]]);
    const seen = { isClaimed: false, epoch: 1, termsVersion: 1, published };
    const waitMs = ReleaseDetector.calculateWaitMs(5000);
    for (const change of [{ epoch: 2 }, { termsVersion: 2 }, { isClaimed: true }]) {
      const watch = new ReleaseDetector();
      watch.observe(seen, 0);
      watch.observe({ ...seen, ...change }, waitMs - 1);
      const after = change.isClaimed === true ? seen : { ...seen, ...change };
      expect(watch.observe(after, waitMs).size).to.equal(0);
      expect(watch.observe(after, 2 * waitMs).size).to.equal(1);
    }
  });

  it('follows the shorter of the document and of what was promised, also after a lost answer', async () => {
    // Guards against an owner that goes on by a longer time than others rely on.
    const { store, random } = createParts(new DriftingClock());
    const keeper = new ReleaseTermsManager({ store, random }, 's2');
    expect(await keeper.write(new Map([['q', 60_000]]))).to.equal(true);
    store.writeFaults = ['late'];
    expect(await keeper.write(new Map([['q', 5000]]))).to.equal(false);
    expect(keeper.published.get('q')).to.equal(5000);
    store.applyLateWrites();
    expect(await keeper.write(new Map([['q', 30_000]]))).to.equal(true);
    expect(keeper.published.get('q')).to.equal(30_000);
    const releases = new Map([['q', 60_000]]);
    const cutOff = { releases, published: keeper.published, contactAt: 0 };
    expect(listReleasedQueues({ ...cutOff, now: 29_999 }).size).to.equal(0);
    expect(listReleasedQueues({ ...cutOff, now: 30_000 }).size).to.equal(1);
  });
});

describe('the takeover of a lost shard', () => {
  const entries = [accept('s2.a', 'q'), accept('s2.b', 'other'), accept('s2.c', 'q', false)];

  it('happens once, fences the former owner and frees allotments only by an operator', async () => {
    // Guards against two takers, and against limits that are given away while the work may go on.
    const lost = await createLostShard([...entries, intend('s2.c')]);
    const { createTakeover, byTime, editor, store, journal } = lost;
    const first = await createTakeover('p1').run(byTime, ['s1']);
    expect(first._unsafeUnwrap().requests).to.deep.equal({ 's2.a': 's1', 's2.c': 's1' });
    const second = await createTakeover('p3').run(byTime, ['s3']);
    expect(second._unsafeUnwrapErr().kind).to.equal('notOwner');
    expect((await readBook(editor)).takeovers).to.have.length(1);
    expect((await journal.append(accept('s2.late', 'q'))).isErr()).to.equal(true);
    expect((await store.read('allotments'))._unsafeUnwrap().value).to.include('"s2":{"processors"');

    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    const declaration = { reason: 'declaration', dataCentre: 'dc2' } as const;
    const third = await createTakeover('p1').run(declaration, ['s1']);
    expect(third._unsafeUnwrap().requests).to.deep.equal({ 's2.b': 's1' });
    const fourth = await createTakeover('p3').run(declaration, ['s3']);
    expect(fourth._unsafeUnwrapErr().kind).to.equal('notOwner');
    const text = (await store.read('allotments'))._unsafeUnwrap().value;
    expect(text).to.include('"s1":{"processors"').and.not.include('"s2":{"processors"');
  });

  it('does not happen while an owner holds the claim or after one was back', async () => {
    // Guards against a takeover from a data centre that returned at the last moment.
    const lost = await createLostShard(entries);
    const back = new ClaimManager(lost, 's2', 'p2', 'address');
    (await back.acquire())._unsafeUnwrap();
    const held = await lost.createTakeover('p1').run(lost.byTime, ['s1']);
    expect(held._unsafeUnwrapErr().kind).to.equal('notOwner');
    await back.release();
    const late = await lost.createTakeover('p1').run(lost.byTime, ['s1']);
    expect(late._unsafeUnwrapErr().kind).to.equal('notOwner');
    expect((await readBook(lost.editor)).takeovers).to.deep.equal([]);
  });

  it('gives an attached request to one shard, also when the answer of the store is lost', async () => {
    // Guards against two entries or two tries that start the same request in two shards.
    const parts = await createLostShard([]);
    const { createTakeover, byTime, editor, store } = parts;
    const early = await editor.takeOverRequest('s2.x', 's2', 'q', 's1', 1000);
    expect(early._unsafeUnwrapErr().kind).to.equal('notOwner');
    (await createTakeover('p1').run(byTime, ['s1']))._unsafeUnwrap();
    store.writeFaults = ['lost'];
    expect((await editor.takeOverRequest('s2.x', 's2', 'q', 's1', 1000)).isOk()).to.equal(true);
    const other = await editor.takeOverRequest('s2.x', 's2', 'q', 's3', 1000);
    expect(other._unsafeUnwrapErr().kind).to.equal('notOwner');
    const unlisted = await editor.takeOverRequest('s2.y', 's2', 'other', 's3', 1000);
    expect(unlisted._unsafeUnwrapErr().kind).to.equal('notOwner');
    const back = new ClaimManager(parts, 's2', 'p2', 'address');
    (await back.acquire())._unsafeUnwrap();
    const late = await editor.takeOverRequest('s2.z', 's2', 'q', 's1', 1000);
    expect(late._unsafeUnwrapErr().detail).to.include('has an owner again');
    const book = new TakeoverIndex(await readBook(editor));
    expect(book.findSuccessor('s2.x')).to.equal('s1');
    expect([book.isTakenOverFrom('s2.x', 's2'), book.isTakenOverFrom('s2.x', 's1')]).to.deep.equal([
      true,
      false,
    ]);
  });

  it('gives nothing to a shard that cannot reach the store, and passes on what it did not take in', async () => {
    // Guards against requests that wait for a successor which is lost too, and against a second run of others.
    const { createTakeover, byTime, editor, store, clock } = await createLostShard(entries);
    const first = (await createTakeover('p1').run(byTime, ['s9', 's3', 's1']))._unsafeUnwrap();
    expect(first.requests).to.deep.equal({ 's2.a': 's3', 's2.c': 's1' });
    await editor.markInherited(first, 's1');
    clock.advance(1000);
    const lost = {
      shard: 's3',
      epoch: 7,
      formerEpoch: 6,
      atMs: clock.wallTime(),
      untilMs: first.untilMs,
      requests: {},
      inheritedBy: [],
    };
    (await editor.addTakeover(lost, ['s1']))._unsafeUnwrap();
    const book = new TakeoverIndex(await readBook(editor));
    expect(book.findSuccessor('s2.a')).to.equal('s1');
    // s1 looks at what is new to it only: it may have forgotten the other request after its end.
    const inherited = book.listPendingInheritances('s1').map(({ requests }) => requests);
    expect(inherited).to.deep.equal([{ 's2.a': 's1' }]);
    await store.write('owners/s1', undefined, 1);
    await store.write('owners/s3', undefined, 1);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    const declaration = { reason: 'declaration', dataCentre: 'dc2' } as const;
    const none = await createTakeover('p1').run(declaration, ['s1', 's3']);
    expect(none._unsafeUnwrapErr().kind).to.equal('noOwner');
  });

  it('does not carry an old declaration out', async () => {
    // Guards against a declaration that nobody could carry out and that takes work over at a later failover.
    const { createTakeover, editor, clock } = await createLostShard(entries);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    clock.advance(600_001);
    const late = await createTakeover('p1').run({ reason: 'declaration', dataCentre: 'dc2' }, [
      's1',
    ]);
    expect(late._unsafeUnwrapErr().kind).to.equal('notOwner');
  });

  it('refuses a declaration about a data centre that another operator has changed', async () => {
    // Guards against two operators who overwrite each other.
    const { editor } = await createLostShard([]);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    (await editor.declare('dc2', change))._unsafeUnwrap();
    const late = await editor.declare('dc2', { ...change, author: 'bob' });
    expect(late._unsafeUnwrapErr().kind).to.equal('staleRevision');
    expect((await readBook(editor)).declarations.dc2?.generation).to.equal(1);
  });
});

describe('the shards on both sides of a takeover', () => {
  const room = { processors: 4, memoryMb: 100, accelerators: 0 };

  it('gives a released queue up: stops, forgets, takes nothing new, ends what may not run again', () => {
    // Guards against work that goes on, or starts again, after others may have taken it.
    const model = new ShardHarness([1], room);
    const again = model.submit({});
    const once = model.submit({ idempotent: false });
    const waiting = model.submit({ size: { ...room, processors: 3 } });
    const started = model.step();
    expect(started).to.have.length(2);
    model.shard.releaseQueues(new Set(['batch']));
    model.step(1000);
    expect(model.commands.map(({ action }) => action)).to.include('stop');
    expect(model.shard.read(waiting).isErr()).to.equal(true);
    for (const task of started) model.reportChange(task, 'stopped');
    for (let index = 0; index < 5; index += 1) expect(model.step(1000)).to.deep.equal([]);
    expect(model.shard.read(again).isErr()).to.equal(true);
    expect(model.shard.read(once)._unsafeUnwrap()).to.include({ state: 'unknown' });
    expect(() => model.submit({})).to.throw('cut off');
  });

  it('lets the lease of a worker end that does not stop released tasks', () => {
    // Guards against a task that nobody can stop and whose worker gets new leases for ever.
    const model = new ShardHarness([1], room);
    model.submit({});
    model.step();
    model.shard.releaseQueues(new Set(['batch']));
    const before = model.shard.createRenewal('w0')?.renewal.leaseUntil ?? 0;
    model.step(periods.releaseStopMs);
    model.step(1000);
    const after = model.shard.createRenewal('w0')?.renewal.leaseUntil ?? 0;
    expect(after).to.be.at.most(before + periods.releaseStopMs);
  });

  it('starts what it was given after its own commit, and never what may have started', () => {
    // Guards against a second run of a non-idempotent request, and against a start before the commit.
    const model = new ShardHarness([1], room);
    const journal = [
      accept('s2.a', 'batch'),
      accept('s2.b', 'batch', false),
      intend('s2.b'),
      accept('s2.c', 'batch', false),
      accept('s2.other', 'batch'),
      keep('s2.d', 'batch'),
    ];
    const ids = new Set(['s2.a', 's2.b', 's2.c', 's2.d']);
    expect(model.shard.takeOver(journal, ids)).to.equal(false);
    const commits = model.shard
      .takeEffects()
      .flatMap((effect) => (effect.effect === 'commit' ? [effect.ticket] : []));
    expect(commits).to.have.length(4);
    expect(model.step()).to.deep.equal([]);
    for (const ticket of commits) model.shard.applyCommitResult(ticket);
    for (const effect of model.shard.takeEffects()) {
      if (effect.effect === 'commit') model.shard.applyCommitResult(effect.ticket);
    }
    expect(model.shard.takeOver(journal, ids)).to.equal(true);
    const started = model.step().map(({ assignment }) => assignment.request.id);
    expect(started).to.deep.equal(['s2.a']);
    // A non-idempotent start waits for the commit of its intent.
    expect(model.readState('s2.c')).to.equal('starting');
    for (const id of ['s2.b', 's2.d']) {
      expect(model.shard.read(id)._unsafeUnwrap()).to.include({ state: 'unknown' });
    }
  });

  it('starts no attached request again that may have started without an intent', () => {
    // Guards against a second run: a request is kept in the journal after its caller stopped to wait, and
    // an attached one starts without an intent.
    const model = new ShardHarness([1], room);
    const kept = createRequest('s2.kept', 'batch', false);
    const journal: JournalEntry[] = [
      { entry: 'accepted', request: { ...kept, detached: false }, deadlineAtMs: 1e9 },
    ];
    model.shard.takeOver(journal, new Set(['s2.kept']));
    // The acceptance, and then the end.
    for (const _ of [1, 2])
      for (const effect of model.shard.takeEffects())
        if (effect.effect === 'commit') model.shard.applyCommitResult(effect.ticket);
    expect(model.step()).to.deep.equal([]);
    expect(model.readState('s2.kept')).to.equal('unknown');
    const cancelled: JournalEntry = { entry: 'cancelled', requestId: 's2.kept', atMs: 0 };
    expect(listJournaledRequests([...journal, cancelled]).get('s2.kept')?.isFinished).to.equal(
      true,
    );
  });

  it('does not repeat a request with an intent although no worker reports its task', () => {
    // Guards against a second run: the former owner acknowledged the end to the worker, which then forgot
    // it, and was killed before the journal had the end.
    const model = new ShardHarness([1], room);
    model.step(60_000);
    const atMs = model.clock.wallTime();
    model.shard.loadJournal([{ ...accept('s1.x', 'batch', false), atMs }, intend('s1.x')]);
    for (const effect of model.shard.takeEffects()) {
      if (effect.effect === 'commit') model.shard.applyCommitResult(effect.ticket);
    }
    expect(model.step()).to.deep.equal([]);
    expect(model.shard.read('s1.x')._unsafeUnwrap()).to.include({ state: 'unknown' });
  });

  it('stops what others took over, also when a worker reports it later', () => {
    // Guards against a returning data centre that goes on with taken work.
    const model = new ShardHarness([1], room);
    const id = model.submit({});
    const [task] = model.step();
    const takeover = {
      shard: 's1',
      epoch: 9,
      formerEpoch: 1,
      atMs: 0,
      untilMs: 1e9,
      requests: { [id]: 's3' },
      inheritedBy: [],
    };
    model.shard.applyTakeovers(
      new TakeoverIndex({ token: 't', declarations: {}, takeovers: [takeover] }),
    );
    model.step(100);
    expect(model.commands.at(-1)).to.include({ action: 'stop', cancelled: true });
    if (task !== undefined) model.reportChange(task, 'stopped');
    // The end is told once the journal has the request and its end.
    const commits = model.shard.takeEffects().filter((each) => each.effect === 'commit');
    expect(commits).to.have.length(2);
    for (const { ticket } of commits) model.shard.applyCommitResult(ticket);
    expect(model.step(5000)).to.deep.equal([]);
    expect(model.readState(id)).to.equal('cancelled');
  });
});
