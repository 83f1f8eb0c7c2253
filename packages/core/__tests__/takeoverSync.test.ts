import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createFailure, TakeoverIndex, TakeoverSync } from '../src/index.js';
import { AutoAdvanceClock } from './AutoAdvanceClock.js';

describe('the record of takeovers in a process', () => {
  let clock: AutoAdvanceClock;
  let version: number;
  let isUp: boolean;
  let isWatcher: boolean;
  let reads: number;
  let sync: TakeoverSync;

  const answer = () =>
    Promise.resolve(
      isUp
        ? ok(new TakeoverIndex(undefined, version))
        : err(createFailure('storeUnavailable', 'down')),
    );
  const run = async (ms: number): Promise<number> => {
    const before = reads;
    const endsAt = clock.now() + ms;
    await sync.run(() => clock.now() < endsAt);
    return reads - before;
  };
  const tell = (told: number, watched = true, isOpen: () => boolean = () => true): void => {
    sync.applyAnnouncement('p1', { version: told, watched }, isOpen);
  };

  beforeEach(() => {
    clock = new AutoAdvanceClock();
    [version, isUp, isWatcher, reads] = [1, true, false, 0];
    const read = () => {
      reads += 1;
      return answer();
    };
    const watch = async (_version: number, waitMs: number) => {
      await clock.sleep(waitMs);
      return answer();
    };
    sync = new TakeoverSync({
      editor: { read, watch },
      clock,
      isWatcher: () => isWatcher,
      onChange: () => undefined,
    });
  });

  // Guards against a process that learns of a declaration later than within a second, because the peer that it
  // relies on is gone or has no contact with the store either.
  it('is read each second, unless a peer watches it over an open link', async () => {
    expect(await run(10_000)).to.equal(10);
    let isOpen = true;
    tell(1, true, () => isOpen);
    expect(await run(10_000)).to.equal(1);
    tell(1, false);
    expect(await run(10_000)).to.equal(10);
    tell(1, true, () => isOpen);
    isOpen = false;
    expect(await run(10_000)).to.equal(10);
  });

  // Guards against a version that is told once and lost with a read that fails.
  it('is read at once when a peer tells a newer version, and again until that worked', async () => {
    tell(1);
    await run(500);
    version = 2;
    isUp = false;
    tell(2);
    isUp = true;
    expect(await run(1000)).to.equal(1);
    expect(sync.current.version).to.equal(2);
    version = 3;
    tell(3);
    await Promise.resolve().then(() => undefined);
    expect(sync.current.version).to.equal(3);
  });

  // Guards against peers that rely on a watch which the store does not answer.
  it('is told to peers only while the own watch is answered', async () => {
    expect(sync.announcement).to.deep.equal({ version: 0, watched: false });
    isWatcher = true;
    await run(4000);
    expect(sync.announcement).to.deep.equal({ version: 1, watched: true });
    isUp = false;
    await run(3000);
    expect(sync.announcement).to.deep.equal({ version: 0, watched: false });
  });
});
