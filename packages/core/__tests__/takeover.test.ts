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
import { createDependencies } from './createDependencies.js';
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

/** An attached request that was journaled after its start, when its caller stopped waiting. */
const acceptAfterStart = (id: string, queue: string): JournalEntry => ({
  entry: 'accepted',
  request: { ...createRequest(id, queue, false), detached: false },
  deadlineAtMs: 1e9,
});

const createIntent = (id: string): JournalEntry => ({
  entry: 'intent',
  requestId: id,
  taskId: `${id}/0/1.1`,
  worker: 'w0',
  epoch: 1,
});

/** Creates a store with the journal, allotments and release terms of an owner of s2 whose claim has expired. */
const createLostShard = async (entries: readonly JournalEntry[]) => {
  const clock = new DriftingClock();
  const dependencies = createDependencies(clock);
  const { store, random } = dependencies;
  const owner = new ClaimManager(dependencies, 's2', 'p2', 'address');
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
  const terms = new ReleaseTermsManager(dependencies, 's2');
  expect(await terms.write(new Map([['q', 5000]]))).to.equal(true);
  clock.advance(periods.claimLeaseMs + 1);
  for (const successor of ['s1', 's3']) await store.write(`owners/${successor}`, 'owner', 0);
  const editor = new TakeoverEditor(dependencies);
  const createTakeover = (process: string): ShardTakeover =>
    new ShardTakeover({ ...dependencies, process, address: 'address' }, 's2');
  const byTime = {
    reason: 'time',
    queues: new Set(['q']),
    epoch,
    formerEpoch: epoch,
    termsVersion: terms.version,
  } as const;
  return { ...dependencies, clock, owner, journal, editor, createTakeover, byTime, terms };
};

const readTakeovers = async (editor: TakeoverEditor): Promise<Takeovers> =>
  (await editor.read())._unsafeUnwrap().record;

describe('the release of queues by a data centre that is cut off', () => {
  it('is complete, with all worker leases expired, before others detect it', () => {
    // Guards against a takeover while a worker still runs the task, for any drift of the clocks.
    const rate = fc.double({ min: 0.99, max: 1.01, noNaN: true });
    const times = fc.integer({ min: 5000, max: 3_600_000 });
    fc.assert(
      fc.property(rate, rate, times, fc.nat(5000), (lost, other, releaseMs, observedAfterMs) => {
        const releases = new Map([['q', releaseMs]]);
        const isReleased = (at: number): boolean =>
          listReleasedQueues({ releases, published: new Map(), contactAt: 0, now: at * lost })
            .size > 0;
        // The owner checks four times a second and then needs time to stop the tasks. A worker that does not
        // answer keeps its last lease, on a clock with its own drift.
        const releasedAt = Math.ceil(releaseMs / lost) + 250;
        expect(isReleased(releasedAt)).to.equal(true);
        const lastLeaseExpiresAt =
          releasedAt + (periods.releaseStopMs + periods.workerLeaseMs) / 0.99 + 250;
        const detector = new ReleaseDetector();
        const observation = { isClaimed: false, epoch: 1, termsVersion: 1, published: releases };
        const since = periods.claimLeaseMs * 0.99 + observedAfterMs;
        expect(detector.observe(observation, since * other).size).to.equal(0);
        expect(
          detector.observe(observation, Math.max(since, lastLeaseExpiresAt) * other).size,
        ).to.equal(0);
        const late = (since + ReleaseDetector.calculateWaitMs(releaseMs) / other + 1) * other;
        expect(detector.observe(observation, late).size).to.equal(1);
      }),
    );
  });

  it('starts to count again after a claim of an owner or a change of the release terms', () => {
    // Guards against a wait that includes a contact of the owner.
    const published = new Map([['q', 5000]]);
    const observation = { isClaimed: false, epoch: 1, termsVersion: 1, published };
    const waitMs = ReleaseDetector.calculateWaitMs(5000);
    for (const change of [{ epoch: 2 }, { termsVersion: 2 }, { isClaimed: true }]) {
      const detector = new ReleaseDetector();
      detector.observe(observation, 0);
      detector.observe({ ...observation, ...change }, waitMs - 1);
      const after = change.isClaimed === true ? observation : { ...observation, ...change };
      expect(detector.observe(after, waitMs).size).to.equal(0);
      expect(detector.observe(after, 2 * waitMs).size).to.equal(1);
    }
  });

  it('uses the shorter one of the configured and the published delay, also after a lost answer', async () => {
    // Guards against an owner that continues longer than other data centres rely on.
    const { store, random } = createDependencies(new DriftingClock());
    const manager = new ReleaseTermsManager({ store, random }, 's2');
    expect(await manager.write(new Map([['q', 60_000]]))).to.equal(true);
    store.writeFaults = ['late'];
    expect(await manager.write(new Map([['q', 5000]]))).to.equal(false);
    expect(manager.published.get('q')).to.equal(5000);
    store.applyLateWrites();
    expect(await manager.write(new Map([['q', 30_000]]))).to.equal(true);
    expect(manager.published.get('q')).to.equal(30_000);
    const releases = new Map([['q', 60_000]]);
    const cutOff = { releases, published: manager.published, contactAt: 0 };
    expect(listReleasedQueues({ ...cutOff, now: 29_999 }).size).to.equal(0);
    expect(listReleasedQueues({ ...cutOff, now: 30_000 }).size).to.equal(1);
  });
});

describe('the takeover of a lost shard', () => {
  const entries = [accept('s2.a', 'q'), accept('s2.b', 'other'), accept('s2.c', 'q', false)];

  it('happens once, fences the previous owner, and frees allotments only after a declaration', async () => {
    // Guards against two takeovers, and against allotments that are reassigned while the work may continue.
    const lost = await createLostShard([...entries, createIntent('s2.c')]);
    const { createTakeover, byTime, editor, store, journal } = lost;
    const first = await createTakeover('p1').run(byTime, ['s1']);
    expect(first._unsafeUnwrap().requests).to.deep.equal({ 's2.a': 's1', 's2.c': 's1' });
    const second = await createTakeover('p3').run(byTime, ['s3']);
    expect(second._unsafeUnwrapErr().kind).to.equal('notOwner');
    expect((await readTakeovers(editor)).takeovers).to.have.length(1);
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

  it('does not happen while an owner holds the claim or after one has returned', async () => {
    // Guards against a takeover from a data centre that returned at the last moment.
    const lost = await createLostShard(entries);
    const back = new ClaimManager(lost, 's2', 'p2', 'address');
    (await back.acquire())._unsafeUnwrap();
    const held = await lost.createTakeover('p1').run(lost.byTime, ['s1']);
    expect(held._unsafeUnwrapErr().kind).to.equal('notOwner');
    await back.release();
    const late = await lost.createTakeover('p1').run(lost.byTime, ['s1']);
    expect(late._unsafeUnwrapErr().kind).to.equal('notOwner');
    expect((await readTakeovers(lost.editor)).takeovers).to.deep.equal([]);
  });

  it('assigns an attached request to one shard, also if the answer of the store is lost', async () => {
    // Guards against two entries or two attempts that start the same request in two shards.
    const dependencies = await createLostShard([]);
    const { createTakeover, byTime, editor, store } = dependencies;
    const early = await editor.takeOverRequest('s2.x', 's2', 'q', 's1', 1000);
    expect(early._unsafeUnwrapErr().kind).to.equal('notOwner');
    (await createTakeover('p1').run(byTime, ['s1']))._unsafeUnwrap();
    store.writeFaults = ['lost'];
    expect((await editor.takeOverRequest('s2.x', 's2', 'q', 's1', 1000)).isOk()).to.equal(true);
    const other = await editor.takeOverRequest('s2.x', 's2', 'q', 's3', 1000);
    expect(other._unsafeUnwrapErr().kind).to.equal('notOwner');
    const unlisted = await editor.takeOverRequest('s2.y', 's2', 'other', 's3', 1000);
    expect(unlisted._unsafeUnwrapErr().kind).to.equal('notOwner');
    const back = new ClaimManager(dependencies, 's2', 'p2', 'address');
    (await back.acquire())._unsafeUnwrap();
    const late = await editor.takeOverRequest('s2.z', 's2', 'q', 's1', 1000);
    expect(late._unsafeUnwrapErr().detail).to.include('has an owner again');
    const takeoverIndex = new TakeoverIndex(await readTakeovers(editor));
    expect(takeoverIndex.findSuccessor('s2.x')).to.equal('s1');
    expect([
      takeoverIndex.isTakenOverFrom('s2.x', 's2'),
      takeoverIndex.isTakenOverFrom('s2.x', 's1'),
    ]).to.deep.equal([true, false]);
  });

  it('assigns nothing to a shard without the store, and reassigns what a lost successor has not journaled', async () => {
    // Guards against requests that wait for a successor which is lost itself, and against a second run of others.
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
    const takeoverIndex = new TakeoverIndex(await readTakeovers(editor));
    expect(takeoverIndex.findSuccessor('s2.a')).to.equal('s1');
    // s1 gets only the reassigned request: it may have removed the other one after its completion.
    const inherited = takeoverIndex.listPendingInheritances('s1').map(({ requests }) => requests);
    expect(inherited).to.deep.equal([{ 's2.a': 's1' }]);
    await store.write('owners/s1', undefined, 1);
    await store.write('owners/s3', undefined, 1);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    const declaration = { reason: 'declaration', dataCentre: 'dc2' } as const;
    const none = await createTakeover('p1').run(declaration, ['s1', 's3']);
    expect(none._unsafeUnwrapErr().kind).to.equal('noOwner');
  });

  it('ignores a declaration that is too old', async () => {
    // Guards against a declaration that could not be carried out and causes a takeover at a later failover.
    const { createTakeover, editor, clock } = await createLostShard(entries);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    clock.advance(600_001);
    const late = await createTakeover('p1').run({ reason: 'declaration', dataCentre: 'dc2' }, [
      's1',
    ]);
    expect(late._unsafeUnwrapErr().kind).to.equal('notOwner');
  });

  it('refuses a declaration if another operator has declared something since', async () => {
    // Guards against operators who overwrite the declarations of each other.
    const { editor } = await createLostShard([]);
    const change = { state: 'lost', author: 'ann', ifGeneration: 0 } as const;
    (await editor.declare('dc2', change))._unsafeUnwrap();
    (await editor.declare('dc2', change))._unsafeUnwrap();
    const late = await editor.declare('dc2', { ...change, author: 'bob' });
    expect(late._unsafeUnwrapErr().kind).to.equal('staleRevision');
    expect((await readTakeovers(editor)).declarations.dc2?.generation).to.equal(1);
  });
});

describe('the shards on both sides of a takeover', () => {
  const room = { processors: 4, memoryMb: 100, accelerators: 0 };

  it('stops and removes requests of a released queue, refuses new ones, and finishes those that must not run again', () => {
    // Guards against work that continues, or starts again, after others may have taken it over.
    const harness = new ShardHarness([1], room);
    const again = harness.submit({});
    const once = harness.submit({ idempotent: false });
    const waiting = harness.submit({ size: { ...room, processors: 3 } });
    const started = harness.step();
    expect(started).to.have.length(2);
    harness.shard.releaseQueues(new Set(['batch']));
    harness.step(1000);
    expect(harness.commands.map(({ action }) => action)).to.include('stop');
    expect(harness.shard.read(waiting).isErr()).to.equal(true);
    for (const task of started) harness.reportChange(task, 'stopped');
    for (let index = 0; index < 5; index += 1) expect(harness.step(1000)).to.deep.equal([]);
    expect(harness.shard.read(again).isErr()).to.equal(true);
    expect(harness.shard.read(once)._unsafeUnwrap()).to.include({ state: 'unknown' });
    expect(() => harness.submit({})).to.throw('cut off');
  });

  it('lets the lease of a worker expire that does not stop tasks of a released queue', () => {
    // Guards against a task that cannot be stopped and whose worker gets new leases forever.
    const harness = new ShardHarness([1], room);
    harness.submit({});
    harness.step();
    harness.shard.releaseQueues(new Set(['batch']));
    const before = harness.shard.createRenewal('w0')?.renewal.leaseUntil ?? 0;
    harness.step(periods.releaseStopMs);
    harness.step(1000);
    const after = harness.shard.createRenewal('w0')?.renewal.leaseUntil ?? 0;
    expect(after).to.be.at.most(before + periods.releaseStopMs);
  });

  it('starts assigned requests after their commit, and never those that may have started', () => {
    // Guards against a second run of a non-idempotent request, and against a start before the commit.
    const harness = new ShardHarness([1], room);
    const journal = [
      accept('s2.a', 'batch'),
      accept('s2.b', 'batch', false),
      createIntent('s2.b'),
      accept('s2.c', 'batch', false),
      accept('s2.other', 'batch'),
      acceptAfterStart('s2.d', 'batch'),
    ];
    const ids = new Set(['s2.a', 's2.b', 's2.c', 's2.d']);
    expect(harness.shard.takeOver(journal, ids)).to.equal(false);
    const commits = harness.shard
      .takeEffects()
      .flatMap((effect) => (effect.effect === 'commit' ? [effect.ticket] : []));
    expect(commits).to.have.length(4);
    expect(harness.step()).to.deep.equal([]);
    for (const ticket of commits) harness.shard.applyCommitResult(ticket);
    for (const effect of harness.shard.takeEffects()) {
      if (effect.effect === 'commit') harness.shard.applyCommitResult(effect.ticket);
    }
    expect(harness.shard.takeOver(journal, ids)).to.equal(true);
    const started = harness.step().map(({ assignment }) => assignment.request.id);
    expect(started).to.deep.equal(['s2.a']);
    // The start of a non-idempotent request waits for the commit of its intent.
    expect(harness.readState('s2.c')).to.equal('starting');
    for (const id of ['s2.b', 's2.d']) {
      expect(harness.shard.read(id)._unsafeUnwrap()).to.include({ state: 'unknown' });
    }
  });

  it('does not start an attached request again that may have started without an intent', () => {
    // Guards against a second run: attached requests start without an intent, and are journaled only when their
    // caller stops waiting.
    const harness = new ShardHarness([1], room);
    const kept = createRequest('s2.kept', 'batch', false);
    const journal: JournalEntry[] = [
      { entry: 'accepted', request: { ...kept, detached: false }, deadlineAtMs: 1e9 },
    ];
    harness.shard.takeOver(journal, new Set(['s2.kept']));
    // Confirms the acceptance, and then the completion.
    for (const _ of [1, 2])
      for (const effect of harness.shard.takeEffects())
        if (effect.effect === 'commit') harness.shard.applyCommitResult(effect.ticket);
    expect(harness.step()).to.deep.equal([]);
    expect(harness.readState('s2.kept')).to.equal('unknown');
    const cancelled: JournalEntry = { entry: 'cancelled', requestId: 's2.kept', atMs: 0 };
    expect(listJournaledRequests([...journal, cancelled]).get('s2.kept')?.isFinished).to.equal(
      true,
    );
  });

  it('does not start a request with an intent again although no worker reports its task', () => {
    // Guards against a second run: the previous owner acknowledged the end of the task, so that the worker forgot it,
    // and was killed before the journal had the completion.
    const harness = new ShardHarness([1], room);
    harness.step(60_000);
    const atMs = harness.clock.wallTime();
    harness.shard.loadJournal([{ ...accept('s1.x', 'batch', false), atMs }, createIntent('s1.x')]);
    for (const effect of harness.shard.takeEffects()) {
      if (effect.effect === 'commit') harness.shard.applyCommitResult(effect.ticket);
    }
    expect(harness.step()).to.deep.equal([]);
    expect(harness.shard.read('s1.x')._unsafeUnwrap()).to.include({ state: 'unknown' });
  });

  it('stops requests that others took over, also if a worker reports them later', () => {
    // Guards against a returning data centre that continues work which was taken over.
    const harness = new ShardHarness([1], room);
    const id = harness.submit({});
    const [task] = harness.step();
    const takeover = {
      shard: 's1',
      epoch: 9,
      formerEpoch: 1,
      atMs: 0,
      untilMs: 1e9,
      requests: { [id]: 's3' },
      inheritedBy: [],
    };
    harness.shard.applyTakeovers(
      new TakeoverIndex({ token: 't', declarations: {}, takeovers: [takeover] }),
    );
    harness.step(100);
    expect(harness.commands.at(-1)).to.include({ action: 'stop', cancelled: true });
    if (task !== undefined) harness.reportChange(task, 'stopped');
    // The completion is visible once the journal has the request and its completion.
    const commits = harness.shard.takeEffects().filter((each) => each.effect === 'commit');
    expect(commits).to.have.length(2);
    for (const { ticket } of commits) harness.shard.applyCommitResult(ticket);
    expect(harness.step(5000)).to.deep.equal([]);
    expect(harness.readState(id)).to.equal('cancelled');
  });
});
