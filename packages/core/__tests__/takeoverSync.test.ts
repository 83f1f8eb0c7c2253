import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createFailure, TakeoverIndex, TakeoverSync } from '../src/index.js';
import { AutoAdvanceClock } from './AutoAdvanceClock.js';

describe('TakeoverSync', () => {
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
  const announce = (
    announcedVersion: number,
    watched = true,
    isOpen: () => boolean = () => true,
  ): void => {
    sync.applyAnnouncement('p1', { version: announcedVersion, watched }, isOpen);
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

  // Guards against a process that gets a declaration later than within a second, because the peer that it relies on
  // is gone or has no contact with the store either.
  it('reads the record each second, unless a peer with an open link watches it', async () => {
    expect(await run(10_000)).to.equal(10);
    let isOpen = true;
    announce(1, true, () => isOpen);
    expect(await run(10_000)).to.equal(1);
    announce(1, false);
    expect(await run(10_000)).to.equal(10);
    announce(1, true, () => isOpen);
    isOpen = false;
    expect(await run(10_000)).to.equal(10);
  });

  // Guards against a version that is announced once and missed because of a failed read.
  it('reads the record at once when a peer announces a newer version, and again until it succeeds', async () => {
    announce(1);
    await run(500);
    version = 2;
    isUp = false;
    announce(2);
    isUp = true;
    expect(await run(1000)).to.equal(1);
    expect(sync.current.version).to.equal(2);
    version = 3;
    announce(3);
    await Promise.resolve().then(() => undefined);
    expect(sync.current.version).to.equal(3);
  });

  // Guards against peers that rely on a watch that the store does not answer.
  it('announces a version only while the store answers its own watch', async () => {
    expect(sync.announcement).to.deep.equal({ version: 0, watched: false });
    isWatcher = true;
    await run(4000);
    expect(sync.announcement).to.deep.equal({ version: 1, watched: true });
    isUp = false;
    await run(3000);
    expect(sync.announcement).to.deep.equal({ version: 0, watched: false });
  });
});
