import type { TakeoversTold } from '@toucanline/schema';
import type { Clock } from './Clock.js';
import { TakeoverIndex } from './TakeoverIndex.js';
import type { TakeoverEditor } from './TakeoverEditor.js';

const watchMs = 2000;
/** Interval of reads while no watching peer can tell of a change. */
const readMs = 1000;
/** Interval of reads beside what peers tell. */
const relayedReadMs = 10_000;
const idleSliceMs = 500;
const retryMs = 500;

/** What the synchronisation works with. */
interface SyncDependencies {
  readonly editor: Pick<TakeoverEditor, 'read' | 'watch'>;
  readonly clock: Clock;
  /** Whether this process keeps a watch in the store and tells its peers. */
  readonly isWatcher: () => boolean;
  /** Called after each newer record. */
  readonly onChange: () => void;
}

/** What a peer told last, as long as its link is open. */
interface PeerAnnouncement extends TakeoversTold {
  readonly isOpen: () => boolean;
}

/**
 * Keeps the record of takeovers of a process up to date. Few processes watch it and tell the others its
 * version; without such a peer a process reads it each second.
 */
export class TakeoverSync {
  readonly #dependencies: SyncDependencies;
  readonly #announcements = new Map<string, PeerAnnouncement>();
  #current: TakeoverIndex | undefined;
  #isWatchAnswered = false;

  /** @param parts - what the synchronisation works with */
  public constructor(parts: SyncDependencies) {
    this.#dependencies = parts;
  }

  /** The newest known record; an empty one before the first read. */
  public get current(): TakeoverIndex {
    return this.#current ?? new TakeoverIndex();
  }

  /** Whether the record was read at least once. */
  public get isLoaded(): boolean {
    return this.#current !== undefined;
  }

  /** What this process tells its peers: a version only as long as its watch is answered. */
  public get announcement(): TakeoversTold {
    return this.#isWatchAnswered
      ? { version: this.current.version, watched: true }
      : { version: 0, watched: false };
  }

  /**
   * Follows the record until the process stops.
   *
   * @param isWanted - asked before each round
   */
  public async run(isWanted: () => boolean): Promise<void> {
    while (isWanted()) {
      if (this.#dependencies.isWatcher()) await this.#watch();
      else {
        this.#isWatchAnswered = false;
        await this.refresh();
        await this.#waitForNextRead(isWanted);
      }
    }
  }

  /** Reads the record now, if the store answers. */
  public async refresh(): Promise<void> {
    const read = await this.#dependencies.editor.read();
    if (read.isOk()) this.#apply(read.value);
  }

  /**
   * Takes what a peer tells. A newer version is read at once.
   *
   * @param process - name of the peer
   * @param told - what it tells
   * @param isOpen - whether the link to it is open
   */
  public applyAnnouncement(process: string, told: TakeoversTold, isOpen: () => boolean): void {
    this.#announcements.set(process, { ...told, isOpen });
    if (told.watched && told.version > this.current.version) void this.refresh();
  }

  async #watch(): Promise<void> {
    const { editor, clock } = this.#dependencies;
    // The first read must not wait for a change.
    const read = await (this.isLoaded
      ? editor.watch(this.current.version, watchMs)
      : editor.read());
    this.#isWatchAnswered = read.isOk();
    if (read.isOk()) this.#apply(read.value);
    else await clock.sleep(retryMs);
  }

  #apply(book: TakeoverIndex): void {
    const isNewer = this.#current === undefined || book.version > this.#current.version;
    if (!isNewer) return;
    this.#current = book;
    this.#dependencies.onChange();
  }

  async #waitForNextRead(isWanted: () => boolean): Promise<void> {
    const { clock, isWatcher } = this.#dependencies;
    const startedAt = clock.now();
    const isDue = (): boolean =>
      clock.now() - startedAt >= (this.#hasWatchingPeer() ? relayedReadMs : readMs);
    while (isWanted() && !isWatcher() && !isDue()) await clock.sleep(idleSliceMs);
  }

  /** Whether a peer that watches the record can tell of a change, and told of none that is missed here. */
  #hasWatchingPeer(): boolean {
    let isTold = false;
    for (const [process, { version, watched, isOpen }] of this.#announcements) {
      if (!isOpen()) this.#announcements.delete(process);
      else if (watched && version > this.current.version) return false;
      else isTold ||= watched;
    }
    return isTold;
  }
}
