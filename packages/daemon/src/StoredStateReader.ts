import type { MetadataStore, StoreDecoder, StoreItem } from '@toucanline/jobs';
import type { Failure } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { storeKeys } from './storeKeys.js';

type StorePage = Extract<Awaited<ReturnType<MetadataStore['list']>>, { value: unknown }>['value'];

/** State that a new leader needs, as stored by the previous one, the hosts and the workers. */
interface StoredState {
  readonly roster: StoreItem | undefined;
  readonly suspensions: StoreItem | undefined;
  readonly queueServices: StoreItem | undefined;
  readonly placements: StoreItem | undefined;
  readonly progressOrder: StoreItem | undefined;
  readonly progress: StorePage;
  readonly jobs: StorePage;
  readonly workers: StorePage;
}

/**
 * Reads the state that a new leader needs. What was read stays valid for later attempts: only the leader writes roster,
 * suspensions, services of queues, placements and progress, and the changes of jobs and workers follow by watches.
 */
export class StoredStateReader {
  readonly #store: MetadataStore;
  readonly #workerPrefix: string;
  readonly #items = new Map<string, StoreItem | undefined>();
  readonly #pages = new Map<string, StorePage>();

  /**
   * @param store - metadata store
   * @param decoder - knows the prefix of the worker entries
   */
  public constructor(store: MetadataStore, decoder: StoreDecoder) {
    this.#store = store;
    this.#workerPrefix = decoder.workerPrefix;
  }

  /** Keys and prefixes that have not been read yet. */
  public get missingKeys(): readonly string[] {
    return [
      ...this.#itemKeys.filter((key) => !this.#items.has(key)),
      ...this.#prefixes.filter((prefix) => !this.#pages.has(prefix)),
    ];
  }

  /**
   * Reads what earlier attempts have not read.
   *
   * @returns the whole state; undefined if a read failed
   */
  public async read(): Promise<StoredState | undefined> {
    await Promise.all([
      ...this.#itemKeys.map((key) => keepResult(this.#items, key, () => this.#store.read(key))),
      ...this.#prefixes.map((prefix) =>
        keepResult(this.#pages, prefix, () => this.#store.list(prefix)),
      ),
    ]);
    const progress = this.#pages.get(storeKeys.progressPrefix);
    const jobs = this.#pages.get(storeKeys.jobPrefix);
    const workers = this.#pages.get(this.#workerPrefix);
    if (progress === undefined || jobs === undefined || workers === undefined) return undefined;
    if (this.missingKeys.length > 0) return undefined;
    return {
      roster: this.#items.get(storeKeys.roster),
      suspensions: this.#items.get(storeKeys.suspensions),
      queueServices: this.#items.get(storeKeys.queueServices),
      placements: this.#items.get(storeKeys.placements),
      progressOrder: this.#items.get(storeKeys.progressOrder),
      progress,
      jobs,
      workers,
    };
  }

  get #itemKeys(): readonly string[] {
    return [
      storeKeys.roster,
      storeKeys.suspensions,
      storeKeys.queueServices,
      storeKeys.placements,
      storeKeys.progressOrder,
    ];
  }

  get #prefixes(): readonly string[] {
    return [storeKeys.progressPrefix, storeKeys.jobPrefix, this.#workerPrefix];
  }
}

const keepResult = async <Value>(
  kept: Map<string, Value>,
  key: string,
  call: () => Promise<Result<Value, Failure>>,
): Promise<void> => {
  if (kept.has(key)) return;
  const result = await call();
  if (result.isOk()) kept.set(key, result.value);
};
