import { validators, type Event, type EventName } from '@toucanline/schema';
import { expect } from 'chai';
import { EventArchive, EventOutbox, mergeEvents } from '../src/index.js';

const createEvent = (counter: number, name: EventName, more: Partial<Event> = {}): Event => ({
  stamp: { wallMs: 1_700_000_000_000, counter },
  process: 's0',
  dataCentre: 'dc1',
  name,
  ...more,
});

const createEnd = (counter: number): Event =>
  createEvent(counter, 'requestFinished', { requestId: `s1.${counter}`, detail: 'x'.repeat(400) });

const createOutbox = (): EventOutbox =>
  new EventOutbox(() => ({ wallMs: 1_700_000_000_001, counter: 0 }));

describe('copies of events at peers', () => {
  it('are sent at a limited rate, with capacity left for claims and a count of dropped events', () => {
    // Guards against a busy owner whose traffic is mostly copies, and against a claim that is not copied.
    const outbox = createOutbox();
    let sent = 0;
    let dropped = 0;
    const seconds = 600;
    for (let second = 0; second < seconds; second += 1) {
      const ends = Array.from({ length: 30 }, (_, index) => createEnd(second * 30 + index));
      outbox.add([...ends, createEvent(1, 'workerJoined')], second * 1000);
      const notice = outbox.takeNotice(second * 1000);
      if (notice !== undefined) expect(validators.NoticeBody(notice)).to.equal(true);
      const copies = notice?.events ?? [];
      sent += copies.filter(({ name }) => name === 'requestFinished').length;
      const report = copies.find(({ name }) => name === 'eventsDropped')?.detail;
      dropped = report === undefined ? dropped : Number(report.split(' ')[0]);
    }
    expect(sent).to.be.within(seconds / 2, seconds / 2 + 21);
    expect(dropped + sent).to.be.within(30 * (seconds - 10), 30 * seconds);
    outbox.add([createEnd(0), createEvent(2, 'claimTaken')], seconds * 1000);
    expect(outbox.takeNotice(seconds * 1000)?.events.map(({ name }) => name)).to.include(
      'claimTaken',
    );
  });

  it('are bounded in number while no peer reads them, with a count of dropped events', () => {
    const outbox = createOutbox();
    const claims = Array.from({ length: 100 }, (_, index) => createEvent(index, 'claimTaken'));
    outbox.add(claims, 0);
    const notice = outbox.takeNotice(0);
    expect(notice?.events).to.have.length(41);
    expect(notice?.events.at(-1)?.detail).to.match(/^60 events/);
    if (notice !== undefined) outbox.countDropped(notice);
    outbox.add([createEvent(200, 'claimLost')], 10_000);
    expect(outbox.takeNotice(10_000)?.events.at(-1)?.detail).to.match(/^101 events/);
    expect(outbox.takeNotice(20_000)).to.equal(undefined);
  });

  it('are kept up to a maximum per process, separately for ends of requests', () => {
    // Guards against memory that grows with the traffic, and against a claim that ends of requests evict.
    const archive = new EventArchive('s1');
    archive.add('s0', 'dc1', { notice: 'events', events: [createEvent(0, 'claimTaken')] });
    for (let counter = 1; counter <= 1000; counter += 1) {
      archive.add('s0', 'dc1', { notice: 'events', events: [createEnd(counter)] });
    }
    expect(archive.list(0)).to.have.length(101);
    expect(archive.list(0)[0]).to.include({ process: 's0', name: 'claimTaken', keptBy: 's1' });
    expect(archive.list(0, 's1.1000')).to.have.length(1);
    expect(archive.list(1_700_000_000_001)).to.have.length(0);
    for (let index = 1; index <= 24; index += 1) {
      archive.add(`p${index}`, 'dc1', { notice: 'events', events: [createEvent(0, 'claimTaken')] });
    }
    expect(archive.list(0)).to.have.length(24);
  });

  it('are merged without duplicates, and the original event is preferred', () => {
    const outbox = createOutbox();
    const events = [createEnd(1), createEnd(2)];
    outbox.add(events, 0);
    const notice = outbox.takeNotice(0);
    const archives = ['s1', 's2'].map((name) => new EventArchive(name));
    for (const archive of archives) if (notice !== undefined) archive.add('s0', 'dc1', notice);
    const [first = [], second = []] = archives.map((archive) => archive.list(0));
    expect(mergeEvents([first, events, second])).to.deep.equal(events);
    const copies = mergeEvents([first, second]);
    expect(copies.map(({ requestId }) => requestId)).to.deep.equal(['s1.1', 's1.2']);
    for (const copy of copies) expect(validators.Event(copy)).to.equal(true);
  });
});
