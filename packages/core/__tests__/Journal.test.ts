import type { JournalEntry, RequestView } from '@toucanline/schema';
import { expect } from 'chai';
import { Journal } from '../src/index.js';
import { DriftingClock } from './DriftingClock.js';
import { createDependencies } from './createDependencies.js';
import { flushPromises } from './flushPromises.js';

const size = { processors: 1, memoryMb: 1, accelerators: 0 };

describe('Journal', () => {
  const setUp = () => {
    const { store, clock, random } = createDependencies(new DriftingClock());
    const create = (epoch: number): Journal => new Journal(store, clock, random, 's1', epoch);
    const accept = (name: string, text = ''): JournalEntry => ({
      entry: 'accepted',
      deadlineAtMs: clock.wallTime() + 60_000,
      request: {
        id: `s1.${name}`,
        digest: '',
        team: 'a',
        queue: 'q',
        kind: 'batch',
        idempotent: true,
        urgent: false,
        checkpointable: false,
        detached: true,
        tasks: 1,
        size,
        command: text,
        runTimeMs: 1,
      },
    });
    const finish = (name: string): JournalEntry => {
      const view: RequestView = {
        id: `s1.${name}`,
        team: 'a',
        queue: 'q',
        kind: 'batch',
        state: 'succeeded',
        ran: 'yes',
        attempt: 1,
        tasks: [],
      };
      return { entry: 'finished', view, atMs: clock.wallTime() };
    };
    const load = async (epoch: number): Promise<readonly string[]> => {
      const entries = (await create(epoch).open())._unsafeUnwrap();
      return entries.flatMap((entry) => (entry.entry === 'accepted' ? [entry.request.id] : []));
    };
    return { store, clock, create, accept, finish, load };
  };

  // Guards against a shard that accepts nothing any more after one error.
  it('answers and goes on after an unexpected error of the store', async () => {
    const { store, create, accept, load } = setUp();
    const journal = create(1);
    await journal.open();
    const write = store.write.bind(store);
    store.write = () => {
      store.write = write;
      throw new Error('unexpected');
    };
    const failed = await journal.append(accept('a'));
    expect(failed._unsafeUnwrapErr().kind).to.equal('outcomeUnknown');
    expect((await journal.append(accept('b'))).isOk()).to.equal(true);
    expect(await load(2)).to.deep.equal(['s1.b']);
  });

  it('refuses commits of a superseded owner, including those to a new segment', async () => {
    const { create, accept, load } = setUp();
    const previous = create(1);
    await previous.open();
    expect((await previous.append(accept('a', 'x'.repeat(60_000)))).isOk()).to.equal(true);
    expect(await load(2)).to.deep.equal(['s1.a']);
    const small = await previous.append(accept('b'));
    const large = await previous.append(accept('c', 'x'.repeat(60_000)));
    expect(small._unsafeUnwrapErr().kind).to.equal('storeConflict');
    expect(large.isErr()).to.equal(true);
    expect(await load(3)).to.deep.equal(['s1.a']);
  });

  it('refuses entries until it is open', async () => {
    // Guards against a head that lists a deleted segment, because a commit ran concurrently with the compaction.
    const { store, create, accept, load } = setUp();
    const previous = create(1);
    await previous.open();
    await previous.append(accept('a'));
    const next = create(2);
    const write = store.write.bind(store);
    const earlyResults: ReturnType<Journal['append']>[] = [];
    store.write = async (...parameters) => {
      if (earlyResults.length < 3)
        earlyResults.push(next.append(accept(`early${earlyResults.length}`)));
      await flushPromises();
      return write(...parameters);
    };
    expect((await next.open()).isOk()).to.equal(true);
    for (const result of await Promise.all(earlyResults))
      expect(result._unsafeUnwrapErr().kind).to.equal('storeUnavailable');
    for (const name of ['b', 'c'])
      expect((await next.append(accept(name, 'x'.repeat(60_000)))).isOk()).to.equal(true);
    expect(await load(3)).to.deep.equal(['s1.a', 's1.b', 's1.c']);
  });

  it('opens after many attempts that failed when the head was written', async () => {
    // Guards against running out of segment numbers to try, because each failed attempt left a segment behind.
    const { store, create, accept, load } = setUp();
    const previous = create(1);
    await previous.open();
    await previous.append(accept('a'));
    const write = store.write.bind(store);
    store.write = (key, ...parameters) => {
      if (!key.startsWith('journals/')) return write(key, ...parameters);
      store.writeFaults = ['down'];
      return write(key, ...parameters);
    };
    for (let epoch = 2; epoch < 14; epoch += 1)
      expect((await create(epoch).open()).isErr()).to.equal(true);
    store.write = write;
    expect(await load(14)).to.deep.equal(['s1.a']);
    await flushPromises();
    await flushPromises();
    expect(store.keys.filter((key) => key.startsWith('journal/'))).to.have.length(1);
  });

  it('confirms an entry whose answer was lost once', async () => {
    const { store, create, accept, load } = setUp();
    const journal = create(1);
    await journal.open();
    store.writeFaults = ['lost', 'lost', 'dropped'];
    expect((await journal.append(accept('a'))).isOk()).to.equal(true);
    expect((await journal.append(accept('b'))).isOk()).to.equal(true);
    expect(await load(2)).to.deep.equal(['s1.a', 's1.b']);
  });

  it('does not report an entry as absent that may still be written', async () => {
    const { store, create, accept, load } = setUp();
    const journal = create(1);
    await journal.open();
    store.writeFaults = Array.from({ length: 100 }, () => 'late');
    const result = journal.append(accept('a'));
    while (store.writeFaults.length > 98) await flushPromises();
    journal.close();
    const { kind } = (await result)._unsafeUnwrapErr();
    expect(kind).to.equal('outcomeUnknown');
    store.applyLateWrites();
    expect(await load(2)).to.deep.equal(['s1.a']);
  });

  it('proves that an entry is absent while the store refuses connections', async () => {
    const { store, create, accept, load } = setUp();
    const journal = create(1);
    await journal.open();
    store.isDown = true;
    const result = await journal.append(accept('a'));
    expect(result._unsafeUnwrapErr().kind).to.equal('storeUnavailable');
    store.isDown = false;
    expect(await load(2)).to.deep.equal([]);
  });

  it('adds segments as needed and drops finished requests after the retention time', async () => {
    const { store, clock, create, accept, finish, load } = setUp();
    const journal = create(1);
    await journal.open();
    for (let index = 0; index < 6; index += 1) {
      await journal.append(accept(`n${index}`, 'x'.repeat(30_000)));
    }
    expect(journal.segmentCount).to.be.greaterThan(2);
    for (let index = 0; index < 5; index += 1) await journal.append(finish(`n${index}`));
    expect(await load(2)).to.have.length(6);
    clock.advance(601_000);
    // The last request never finished; it is dropped a retention time after its deadline.
    expect(await load(3)).to.deep.equal(['s1.n5']);
    clock.advance(60_000);
    expect(await load(4)).to.deep.equal([]);
    await flushPromises();
    expect(store.keys.filter((key) => key.startsWith('journal/'))).to.have.length(1);
  });

  // Limits the write rate of the store: at the target size, up to 110 requests a second are journaled.
  it('needs less than 60 writes a second for 110 requests a second with their completions', async () => {
    const { store, clock, create, accept, finish } = setUp();
    const journal = create(1);
    await journal.open();
    const write = store.write.bind(store);
    let writes = 0;
    store.write = (...parameters) => {
      writes += 1;
      return write(...parameters);
    };
    const startedAt = clock.now();
    const perSecond = 110;
    const seconds = 20;
    let appended = 0;
    while (clock.now() - startedAt < seconds * 1000) {
      const dueCount = ((clock.now() - startedAt + 30) / 1000) * perSecond;
      const batch: Promise<unknown>[] = [];
      for (; appended < dueCount; appended += 1) {
        batch.push(journal.append(accept(`n${appended}`, 'x'.repeat(200))));
        if (appended >= perSecond) batch.push(journal.append(finish(`n${appended - perSecond}`)));
      }
      await Promise.all(batch);
    }
    expect(writes / seconds).to.be.lessThan(60);
  });
});
