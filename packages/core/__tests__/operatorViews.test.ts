import type { Document, Event, EventName, ShardStatus, WorkStatus } from '@toucanline/schema';
import { expect } from 'chai';
import {
  KeyListAge,
  HybridLogicalClock,
  truncateEvents,
  mergeEvents,
  parseDocument,
  previewChange,
  Timeline,
} from '../src/index.js';
import { AutoAdvanceClock } from './AutoAdvanceClock.js';

const text = `schema = 1
[shards.s1]
dataCentre = "dc1"
[teams.a]
share = 1
limit = { processors = 40, memoryMb = 100000, accelerators = 0 }
[teams.b]
share = 1
[queues.q]
kind = "batch"
[queues.r]
kind = "batch"
[workers.large]
room = { processors = 16, memoryMb = 32000, accelerators = 0 }
`;

const parse = (source: string): Document => parseDocument(source)._unsafeUnwrap();

const createShard = (work: readonly WorkStatus[]): ShardStatus => ({
  shard: 's1',
  dataCentre: 'dc1',
  epoch: 1,
  owner: 'x',
  provisional: false,
  recovering: false,
  waiting: 0,
  running: 0,
  workers: [],
  teams: [
    {
      team: 'a',
      use: { processors: 30, memoryMb: 30_000, accelerators: 0 },
      demand: { processors: 0, memoryMb: 0, accelerators: 0 },
      waiting: 3,
    },
  ],
  work,
});

describe('previewChange', () => {
  const size = { processors: 12, memoryMb: 1000, accelerators: 0 };
  const shards = [createShard([{ queue: 'q', team: 'a', size, waiting: 3, running: 2 }])];
  const preview = (next: string): string =>
    previewChange(parse(text), parse(next), shards).join('\n');

  it('reports that nothing changes', () => {
    expect(preview(`# a comment\n${text}`)).to.match(/nothing changes/);
  });

  it('names the team above a lowered limit and what happens to its work', () => {
    const lines = preview(text.replace('processors = 40', 'processors = 20'));
    expect(lines).to.match(/team a becomes 20 processors.*runs 30 processors.*over it/);
    expect(lines).to.match(/stopped within 30 s, newest idempotent first/);
    expect(lines).to.match(/teams.a.limit.processors: 40 -> 20/);
  });

  it('names closed queues with their work', () => {
    expect(preview(text.replace('[queues.q]\nkind = "batch"\n', ''))).to.match(
      /Queue q closes: .* 3 waiting and 2 running requests go on/,
    );
    expect(preview(text.replace('[queues.q]', '[queues.q]\nteams = ["b"]'))).to.match(
      /Queue q closes for team a; 3 waiting and 2 running/,
    );
  });

  it('names waiting requests that no longer fit a worker class or the limit', () => {
    expect(preview(text.replace('processors = 16', 'processors = 8'))).to.match(
      /3 waiting requests of team a in queue q \(12 processors, 1000 MB each\) no longer fit any/,
    );
    expect(preview(text.replace('processors = 40', 'processors = 10'))).to.match(
      /3 waiting requests .* exceed the limit/,
    );
  });

  it('shows how shares change', () => {
    expect(preview(text.replace('share = 1', 'share = 3'))).to.match(
      /Team a gets 75% of a full fleet instead of 50%/,
    );
  });
});

describe('KeyListAge', () => {
  it('is counted from the newest confirmation and grows without another', async () => {
    const clock = new AutoAdvanceClock();
    const contact = new KeyListAge(clock);
    expect(contact.ageMs).to.equal(Infinity);
    contact.confirm(500);
    contact.confirm(9000);
    await clock.sleep(250);
    expect(contact.ageMs).to.equal(750);
  });
});

describe('HybridLogicalClock', () => {
  it('orders an event after the message that caused it although the local clock is behind', () => {
    const clock = new HybridLogicalClock(new AutoAdvanceClock());
    clock.observe({ wallMs: 5000, counter: 7 });
    expect(clock.tick()).to.deep.equal({ wallMs: 5000, counter: 8 });
  });

  it('ignores a stamp from a clock that is far ahead', () => {
    const clock = new HybridLogicalClock(new AutoAdvanceClock());
    clock.observe({ wallMs: 10_000_000, counter: 0 });
    expect(clock.tick().wallMs).to.equal(1000);
  });
});

describe('truncateEvents', () => {
  it('keeps the newest events within one frame, so that a full buffer does not break a link', () => {
    const events = Array.from({ length: 20_000 }, (_, index): Event => ({
      stamp: { wallMs: index, counter: 0 },
      process: 's0',
      dataCentre: 'dc1',
      name: 'requestFinished',
      detail: 'x'.repeat(400),
    }));
    const kept = truncateEvents(events);
    expect(JSON.stringify(kept).length).to.be.within(2_900_000, 3_100_000);
    expect(kept.at(-1)).to.equal(events.at(-1));
    expect(truncateEvents(events.slice(0, 10))).to.have.length(10);
  });
});

describe('Timeline', () => {
  const create = (wallMs: number, name: EventName, more: Partial<Event> = {}): Event => ({
    stamp: { wallMs, counter: 0 },
    process: 's0',
    dataCentre: 'dc1',
    name,
    ...more,
  });

  it('draws each request and task once, in the row where it ran, also if its end is unknown', () => {
    const events = [
      create(1, 'claimTaken', { shard: 's1' }),
      create(2, 'requestAdmitted', { requestId: 'r' }),
      create(3, 'taskStarted', { requestId: 'r', taskId: 't', worker: 'w' }),
      create(9, 'taskFinished', { requestId: 'r', taskId: 't', worker: 'w' }),
      create(10, 'requestFinished', { requestId: 'r' }),
      create(11, 'workerLost', { worker: 'w' }),
      create(12, 'revisionApplied', { revision: 2 }),
    ];
    const { rows } = new Timeline(mergeEvents([events, events]));
    const spans = rows.flatMap((row) =>
      row.spans.map(({ kind, fromMs, toMs }) => `${row.name} ${kind} ${fromMs}-${toMs}`),
    );
    expect(spans.sort()).to.deep.equal(['s0 claim 1-12', 's0 request 2-10', 'w task 3-9']);
    // The loss of a worker is marked in the worker's row, where its tasks are.
    const marks = rows.flatMap((row) => row.marks.map(({ kind }) => `${row.name} ${kind}`));
    expect(marks).to.deep.equal(['s0 revision', 'w fault']);
  });

  it('shows how long a request waited and how each span ended', () => {
    // Guards against a timeline in which a failure looks like a success.
    const { rows } = new Timeline([
      create(1, 'requestAdmitted', { requestId: 'r' }),
      create(4, 'taskStarted', { requestId: 'r', taskId: 't', worker: 'w' }),
      create(5, 'taskFinished', { requestId: 'r', taskId: 't', worker: 'w', detail: 'failed' }),
      create(6, 'taskStarted', { requestId: 'r', taskId: 'u', worker: 'w' }),
      create(8, 'taskFinished', { requestId: 'r', taskId: 'u', worker: 'w', detail: 'succeeded' }),
      create(9, 'requestFinished', { requestId: 'r', detail: 'succeeded' }),
      create(9, 'requestAdmitted', { requestId: 'q' }),
    ]);
    const spans = rows.flatMap((row) =>
      row.spans.map(({ name, outcome, startedMs }) => `${name} ${outcome} ${startedMs ?? '-'}`),
    );
    expect(spans).to.deep.equal(['r good 4', 'q open -', 't bad -', 'u good -']);
  });
});
