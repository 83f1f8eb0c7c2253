import type { MetadataStore } from '@toucanline/jobs';
import type { WatchHandler } from './WatchHandler.js';
import { hostLimits } from './hostLimits.js';

/** Follows all items with a prefix: reads them once, then watches; reads again when the history is gone. */
export class PrefixWatch {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #maxWaitMs: number;
  readonly #handler: WatchHandler;
  #isStopped = false;

  /**
   * @param store - the store
   * @param prefix - prefix of the keys
   * @param waitMs - longest wait of one watch, in milliseconds
   * @param handler - takes items and changes
   */
  public constructor(store: MetadataStore, prefix: string, waitMs: number, handler: WatchHandler) {
    this.#store = store;
    this.#prefix = prefix;
    this.#maxWaitMs = waitMs;
    this.#handler = handler;
  }

  /**
   * Follows the items until the feed is stopped.
   *
   * @param fromRevision - revision after which changes count, if the items are known already
   */
  public async run(fromRevision?: number): Promise<void> {
    let revision = fromRevision;
    while (!this.#isStopped) {
      revision = revision === undefined ? await this.list() : await this.#watch(revision);
    }
  }

  /** Stops after the call that is under way; nothing is told any more. */
  public stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads all items.
   *
   * @returns the revision from which to watch; undefined if the store did not answer
   */
  public async list(): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const page = await this.#store.list(this.#prefix);
    if (this.#isStopped) return undefined;
    if (page.isErr()) {
      await this.#pause();
      return undefined;
    }
    this.#handler.onSnapshot(page.value.items, page.value.revision);
    this.#handler.onConfirmed?.(sentAt, sentWall);
    return page.value.revision;
  }

  async #watch(after: number): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const page = await this.#store.watch(this.#prefix, after, this.#maxWaitMs);
    if (this.#isStopped) return undefined;
    if (page.isErr()) {
      if (page.error.kind !== 'staleRevision') await this.#pause();
      return undefined;
    }
    for (const item of page.value.items) this.#handler.onChange(item);
    // A watch that waited saw every change up to its answer, but is only as young as its request.
    this.#handler.onConfirmed?.(sentAt, sentWall);
    return Math.max(after, page.value.revision);
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
  }
}
