import type { MetadataStore } from '@toucanline/jobs';
import type { FeedHandler } from './FeedHandler.js';
import { hostTimes } from './hostTimes.js';

/** Follows all items with a prefix: reads them once, then watches; reads again when the history is gone. */
export class StoreFeed {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #waitMs: number;
  readonly #handler: FeedHandler;
  #stopped = false;

  /**
   * @param store - the store
   * @param prefix - prefix of the keys
   * @param waitMs - longest wait of one watch, in milliseconds
   * @param handler - takes items and changes
   */
  public constructor(store: MetadataStore, prefix: string, waitMs: number, handler: FeedHandler) {
    this.#store = store;
    this.#prefix = prefix;
    this.#waitMs = waitMs;
    this.#handler = handler;
  }

  /**
   * Follows the items until the feed is stopped.
   *
   * @param fromRevision - revision after which changes count, if the items are known already
   */
  public async run(fromRevision?: number): Promise<void> {
    let revision = fromRevision;
    while (!this.#stopped) {
      revision = revision === undefined ? await this.read() : await this.#watch(revision);
    }
  }

  /** Stops after the call that is under way; nothing is told any more. */
  public stop(): void {
    this.#stopped = true;
  }

  /**
   * Reads all items.
   *
   * @returns the revision from which to watch; undefined if the store did not answer
   */
  public async read(): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const page = await this.#store.list(this.#prefix);
    if (this.#stopped) return undefined;
    if (page.isErr()) {
      await this.#pause();
      return undefined;
    }
    this.#handler.replace(page.value.items, page.value.revision);
    this.#handler.confirm?.(sentAt, sentWall);
    return page.value.revision;
  }

  async #watch(after: number): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const page = await this.#store.watch(this.#prefix, after, this.#waitMs);
    if (this.#stopped) return undefined;
    if (page.isErr()) {
      if (page.error.kind !== 'staleRevision') await this.#pause();
      return undefined;
    }
    for (const item of page.value.items) this.#handler.change(item);
    // A watch that waited saw every change up to its answer, but is only as young as its request.
    this.#handler.confirm?.(sentAt, sentWall);
    return Math.max(after, page.value.revision);
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, hostTimes.watchRetryMs));
  }
}
