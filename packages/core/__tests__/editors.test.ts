import type { ConfigurationChange } from '@toucanline/schema';
import { expect } from 'chai';
import {
  checkDocument,
  ConfigurationEditor,
  formatIssue,
  KeyEditor,
  RandomSource,
} from '../src/index.js';
import { StoreStub } from './StoreStub.js';
import { AutoAdvanceClock } from './AutoAdvanceClock.js';

const createText = (share: number): string => `schema = 1
[shards.s1]
dataCentre = "dc1"
[teams.planning]
share = ${share}
limit = { processors = 40, memoryMb = 120000, accelerators = 8 }
[queues.renders]
kind = "batch"
[workers.standard]
room = { processors = 16, memoryMb = 32768, accelerators = 0 }
`;

const createChange = (
  ifRevision: number,
  token: string,
  share = ifRevision + 1,
): ConfigurationChange => ({ ifRevision, token, text: createText(share), author: `by ${token}` });

/** Tokens numbered in sequence. */
class SequentialTokens extends RandomSource {
  #next = 0;

  public override next(): number {
    return 0.5;
  }

  public override token(): string {
    this.#next += 1;
    return `token${this.#next}`;
  }
}

describe('ConfigurationEditor', () => {
  let store = new StoreStub();
  let editor = new ConfigurationEditor(
    { store, clock: new AutoAdvanceClock(), hash: String },
    'test',
  );

  beforeEach(async () => {
    store = new StoreStub();
    const hash = (text: string): string => text.length.toString(16).padStart(64, '0');
    editor = new ConfigurationEditor({ store, clock: new AutoAdvanceClock(), hash }, 'test');
    expect((await editor.applyChange(createChange(0, 'a'))).isOk()).to.equal(true);
  });

  it('reports the author and the changes of the newest revision when it loses a race', async () => {
    store.beforeWrite = async () => {
      expect((await editor.applyChange(createChange(1, 'winner', 7))).isOk()).to.equal(true);
    };
    const lost = (await editor.applyChange(createChange(1, 'loser', 8)))._unsafeUnwrapErr();
    expect(lost.failure.kind).to.equal('staleRevision');
    expect(lost.current).to.deep.include({
      revision: 2,
      author: 'by winner',
      changes: ['teams.planning.share: 1 -> 7'],
    });
    expect((await editor.readNewest())._unsafeUnwrap()?.token).to.equal('winner');
  });

  it('recognizes its own write by the token when the response was lost', async () => {
    store.failWrites('none', 'loseAnswer');
    const result = (await editor.applyChange(createChange(1, 'b')))._unsafeUnwrap();
    expect(result.revision).to.equal(2);
    expect(
      (await editor.listRevisions())._unsafeUnwrap().map(({ revision }) => revision),
    ).to.deep.equal([2, 1]);
  });

  it('retries when the write itself was lost', async () => {
    store.failWrites('none', 'loseWrite');
    expect((await editor.applyChange(createChange(1, 'b')))._unsafeUnwrap().revision).to.equal(2);
  });

  it('reports an unknown outcome when no write gets a response', async () => {
    // Four attempts of two writes each; the history entry of the first attempt stays.
    store.failWrites('none', ...Array.from({ length: 7 }, () => 'loseWrite' as const));
    const { failure } = (await editor.applyChange(createChange(1, 'b')))._unsafeUnwrapErr();
    expect(failure.kind).to.equal('timeout');
  });

  it('applies a repeated token only once, also after a newer revision', async () => {
    await editor.applyChange(createChange(1, 'b'));
    await editor.applyChange(createChange(2, 'c'));
    const { writes } = store;
    expect((await editor.applyChange(createChange(1, 'b')))._unsafeUnwrap().revision).to.equal(2);
    expect(store.writes).to.equal(writes);
    const other = (await editor.applyChange(createChange(1, 'b', 99)))._unsafeUnwrapErr();
    expect(other.failure.kind).to.equal('conflictingKey');
  });

  it('keeps every revision readable', async () => {
    await editor.applyChange(createChange(1, 'b'));
    await editor.applyChange(createChange(2, 'c'));
    const texts = [1, 2, 3].map(async (revision) => {
      return (await editor.readRevision(revision))._unsafeUnwrap().text;
    });
    expect(await Promise.all(texts)).to.deep.equal([1, 2, 3].map(createText));
    expect((await editor.readRevision(4))._unsafeUnwrapErr().kind).to.equal('unknownRevision');
  });

  it('refuses an invalid document and keeps the revision in effect', async () => {
    const bad = createChange(1, 'b');
    const { failure } = (
      await editor.applyChange({ ...bad, text: 'schema = 2' })
    )._unsafeUnwrapErr();
    expect(failure.kind).to.equal('invalidDocument');
    expect((await editor.readNewest())._unsafeUnwrap()?.revision).to.equal(1);
  });
});

describe('checkDocument', () => {
  const good = createText(1);
  const check = (text: string): readonly string[] => checkDocument(text).issues.map(formatIssue);

  it('accepts a valid document', () => {
    expect(check(good)).to.deep.equal([]);
  });

  const cases: readonly (readonly [string, string, RegExp])[] = [
    [
      'a document that is too large',
      `${good}# ${'ü'.repeat(460_000)}`,
      /found 92\d{4} bytes; at most/,
    ],
    ['another schema version', good.replace('schema = 1', 'schema = 2'), /line 1: schema: found 2/],
    ['an unknown key', good.replace('share', 'shares'), /line 5: teams.planning.shares.*unknown/],
    [
      'a limit below every class',
      good.replace('120000', '120'),
      /line 6: teams.planning.limit.memoryMb: found 120; at least 32768/,
    ],
    [
      'a queue that no team may use',
      good.replace(
        'processors = 40, memoryMb = 120000, accelerators = 8',
        'processors = 0, memoryMb = 0, accelerators = 0',
      ),
      /line 7: queues.renders.teams: found only teams whose limit is zero/,
    ],
    [
      'an open queue without a team',
      good.replace('"batch"', '"batch"\nopen = true'),
      /found nothing/,
    ],
    ['a team defined twice', `${good}[teams.planning]\nshare = 1`, /line 11: .*defined once/],
    [
      'a team listed twice',
      good.replace('"batch"', '"batch"\nteams = ["planning", "planning"]'),
      /line 9: queues.renders.teams: found a duplicate team/,
    ],
  ];
  for (const [name, text, expected] of cases) {
    it(`refuses ${name}`, () => {
      expect(check(text).join('\n')).to.match(expected);
    });
  }

  it('reports every error, not only the first one', () => {
    const text = good.replace('share = 1', 'share = -1').replace('"batch"', '"bash"');
    expect(check(text)).to.have.length(2);
  });
});

describe('KeyEditor', () => {
  const grant = { id: 'k1', hash: 'a'.repeat(64), team: 'planning', roles: ['submit'] } as const;
  const create = (store: StoreStub): KeyEditor =>
    new KeyEditor({ store, clock: new AutoAdvanceClock(), random: new SequentialTokens() }, 'test');

  it('grants a key once although the response to the write was lost', async () => {
    const store = new StoreStub();
    store.failWrites('loseAnswer');
    const { list } = (await create(store).grant(grant))._unsafeUnwrap();
    expect(list).to.deep.include({ revision: 1 });
    expect(list.keys).to.have.length(1);
  });

  it('keeps both keys when two operators grant at the same time', async () => {
    const store = new StoreStub();
    const editor = create(store);
    store.beforeWrite = async () => {
      await editor.grant({ ...grant, id: 'k2', hash: 'b'.repeat(64) });
    };
    await editor.grant(grant);
    const { keys } = (await editor.readKeys())._unsafeUnwrap();
    expect(keys.map(({ id }) => id)).to.deep.equal(['k2', 'k1']);
  });

  it('does not grant a withdrawn key again', async () => {
    const editor = create(new StoreStub());
    await editor.grant(grant);
    await editor.withdraw('k1');
    expect((await editor.grant(grant))._unsafeUnwrapErr().kind).to.equal('conflictingKey');
    expect((await editor.withdraw('k1'))._unsafeUnwrap().list.revision).to.equal(2);
    expect((await editor.withdraw('k9'))._unsafeUnwrapErr().kind).to.equal('unknownKey');
  });
});
