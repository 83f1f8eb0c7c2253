import type { MetadataStore } from '@toucanline/jobs';
import type { WatchHandler } from './WatchHandler.js';
import { hostLimits } from './hostLimits.js';
import { runGuarded } from './runGuarded.js';

/** Watches all items with a key prefix: lists them, then watches for changes; lists again if the history is gone. */
export class PrefixWatch {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #maxWaitMs: number;
  readonly #handler: WatchHandler;
  #isStopped = false;

  /**
   * @param store - metadata store
   * @param prefix - key prefix
   * @param maxWaitMs - longest wait of one watch call, in milliseconds
   * @param handler - callbacks for items and changes
   */
  public constructor(
    store: MetadataStore,
    prefix: string,
    maxWaitMs: number,
    handler: WatchHandler,
  ) {
    this.#store = store;
    this.#prefix = prefix;
    this.#maxWaitMs = maxWaitMs;
    this.#handler = handler;
  }

  /**
   * Watches the items until stopped.
   *
   * @param fromRevision - revision after which to watch; without it the items are listed first
   */
  public async run(fromRevision?: number): Promise<void> {
    let revision = fromRevision;
    while (!this.#isStopped) {
      revision = revision === undefined ? await this.list() : await this.#watch(revision);
    }
  }

  /** Stops after the pending call; no callback is called any more. */
  public stop(): void {
    this.#isStopped = true;
  }

  /**
   * Lists all items and passes them to the handler.
   *
   * @returns the revision from which to watch; undefined if the store did not answer or the watch was stopped
   */
  public async list(): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentAtWall = Date.now();
    const page = await this.#store.list(this.#prefix);
    if (this.#isStopped) return undefined;
    if (page.isErr()) {
      await this.#pause();
      return undefined;
    }
    this.#guard(() => {
      this.#handler.onSnapshot(page.value.items, page.value.revision);
    });
    this.#handler.onConfirmed?.(sentAt, sentAtWall);
    return page.value.revision;
  }

  async #watch(after: number): Promise<number | undefined> {
    const sentAt = performance.now();
    const sentAtWall = Date.now();
    const page = await this.#store.watch(this.#prefix, after, this.#maxWaitMs);
    if (this.#isStopped) return undefined;
    if (page.isErr()) {
      if (page.error.kind !== 'staleRevision') await this.#pause();
      return undefined;
    }
    for (const item of page.value.items) {
      this.#guard(() => {
        this.#handler.onChange(item);
      });
    }
    // Only the time of the request is confirmed, although the answer includes every change up to the answer.
    this.#handler.onConfirmed?.(sentAt, sentAtWall);
    return Math.max(after, page.value.revision);
  }

  /** Keeps the watch going when a callback throws. */
  #guard(callback: () => void): void {
    runGuarded(callback, this.#handler.onError);
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, hostLimits.watchRetryMs));
  }
}
