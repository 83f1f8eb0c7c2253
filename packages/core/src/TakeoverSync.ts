import type { TakeoversTold } from '@toucanline/schema';
import type { Clock } from './Clock.js';
import { TakeoverIndex } from './TakeoverIndex.js';
import type { TakeoverEditor } from './TakeoverEditor.js';

/** Longest wait of one watch call. */
const watchWaitMs = 2000;
/** Interval of reads without a peer that watches the record. */
const readIntervalMs = 1000;
/** Interval of reads while a peer watches the record and announces changes. */
const watchedReadIntervalMs = 10_000;
/** Interval at which an idle process checks whether a read is due. */
const readCheckIntervalMs = 500;
/** Delay after a failed watch call. */
const retryDelayMs = 500;

/** Services and callbacks that the synchronisation uses. */
interface SyncDependencies {
  readonly editor: Pick<TakeoverEditor, 'read' | 'watch'>;
  readonly clock: Clock;
  /** Whether this process watches the store and announces changes to its peers. */
  readonly isWatcher: () => boolean;
  /** Called after a newer record was applied. */
  readonly onChange: () => void;
}

/** Last announcement of a peer; valid as long as its link is open. */
interface PeerAnnouncement extends TakeoversTold {
  readonly isOpen: () => boolean;
}

/**
 * Keeps the record of takeovers of a process up to date. A few processes watch the record in the store and announce
 * its version to the others; without such a peer, a process reads the record each second.
 */
export class TakeoverSync {
  readonly #dependencies: SyncDependencies;
  readonly #announcements = new Map<string, PeerAnnouncement>();
  #current: TakeoverIndex | undefined;
  #isWatchAnswered = false;

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: SyncDependencies) {
    this.#dependencies = dependencies;
  }

  /** Newest known record; empty before the first read. */
  public get current(): TakeoverIndex {
    return this.#current ?? new TakeoverIndex();
  }

  /** Whether the record was read at least once. */
  public get isLoaded(): boolean {
    return this.#current !== undefined;
  }

  /** Announcement for peers; it has a version only while the store answers the watch of this process. */
  public get announcement(): TakeoversTold {
    return this.#isWatchAnswered
      ? { version: this.current.version, watched: true }
      : { version: 0, watched: false };
  }

  /**
   * Follows the record until the process stops.
   *
   * @param isWanted - called before each round; returning false ends the loop
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
   * Applies an announcement of a peer. If it names a newer version, the record is read at once.
   *
   * @param process - name of the peer
   * @param announced - the announcement
   * @param isOpen - returns whether the link to the peer is open
   */
  public applyAnnouncement(process: string, announced: TakeoversTold, isOpen: () => boolean): void {
    this.#announcements.set(process, { ...announced, isOpen });
    if (announced.watched && announced.version > this.current.version) void this.refresh();
  }

  async #watch(): Promise<void> {
    const { editor, clock } = this.#dependencies;
    // The first read must not wait for a change of the record.
    const read = await (this.isLoaded
      ? editor.watch(this.current.version, watchWaitMs)
      : editor.read());
    this.#isWatchAnswered = read.isOk();
    if (read.isOk()) this.#apply(read.value);
    else await clock.sleep(retryDelayMs);
  }

  #apply(index: TakeoverIndex): void {
    const isNewer = this.#current === undefined || index.version > this.#current.version;
    if (!isNewer) return;
    this.#current = index;
    this.#dependencies.onChange();
  }

  async #waitForNextRead(isWanted: () => boolean): Promise<void> {
    const { clock, isWatcher } = this.#dependencies;
    const startedAt = clock.now();
    const isDue = (): boolean =>
      clock.now() - startedAt >= (this.#hasWatchingPeer() ? watchedReadIntervalMs : readIntervalMs);
    while (isWanted() && !isWatcher() && !isDue()) await clock.sleep(readCheckIntervalMs);
  }

  /** Checks whether a peer watches the record and no announced version is missing here. */
  #hasWatchingPeer(): boolean {
    let hasWatcher = false;
    for (const [process, { version, watched, isOpen }] of this.#announcements) {
      if (!isOpen()) this.#announcements.delete(process);
      else if (watched && version > this.current.version) return false;
      else hasWatcher ||= watched;
    }
    return hasWatcher;
  }
}
