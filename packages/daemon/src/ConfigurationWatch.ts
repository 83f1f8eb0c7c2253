import type { MetadataStore, StoreDecoder } from '@toucanline/jobs';
import type { SiteConfiguration } from '@toucanline/schema';
import { ConfirmationAge } from './ConfirmationAge.js';
import type { EventLog } from './EventLog.js';
import { PrefixWatch } from './PrefixWatch.js';

/** Watches the operator's configuration. Within one process it never returns to an older version. */
export class ConfigurationWatch {
  readonly #store: MetadataStore;
  readonly #decoder: StoreDecoder;
  readonly #log: EventLog;
  readonly #confirmationAge = new ConfirmationAge();
  readonly #watch: PrefixWatch;
  readonly #listeners = new Set<(configuration: SiteConfiguration) => void>();
  #current: SiteConfiguration | undefined;
  #pendingRead: Promise<void> | undefined;
  #accountsByKey: ReadonlyMap<string, string> = new Map();

  /**
   * @param store - metadata store
   * @param decoder - decoder of the stored configuration
   * @param log - event log of this process
   * @param maxWaitMs - longest wait of one watch call, in milliseconds
   */
  public constructor(
    store: MetadataStore,
    decoder: StoreDecoder,
    log: EventLog,
    maxWaitMs: number,
  ) {
    this.#store = store;
    this.#decoder = decoder;
    this.#log = log;
    this.#watch = new PrefixWatch(store, decoder.configurationKey, maxWaitMs, {
      onSnapshot: (items) => {
        for (const item of items) this.#apply(item.key, item.value);
      },
      onChange: (item) => {
        this.#apply(item.key, item.value);
      },
      onError: (error) => {
        log.writeError('configuration', error);
      },
      onConfirmed: (monotonicAt, wallAt) => {
        this.#confirmationAge.confirm(monotonicAt, wallAt);
      },
    });
  }

  /** Newest configuration; undefined if none is known. */
  public get current(): SiteConfiguration | undefined {
    return this.#current;
  }

  /** Time since the configuration was last confirmed by the store, in milliseconds. */
  public get ageMs(): number {
    return this.#confirmationAge.computeMs();
  }

  /** Starts to watch the configuration. */
  public start(): void {
    void this.#watch.run();
  }

  /** Stops the watch. */
  public stop(): void {
    this.#watch.stop();
  }

  /**
   * Adds a listener.
   *
   * @param listener - called with each new version
   */
  public onChange(listener: (configuration: SiteConfiguration) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Finds the client account of an API key.
   *
   * @param key - API key of a call
   * @returns name of the account; undefined if the key is unknown
   */
  public findAccount(key: string): string | undefined {
    return this.#accountsByKey.get(key);
  }

  /**
   * Checks whether the configuration was confirmed recently, and reads it from the store if it was not.
   *
   * @param maxAgeMs - longest allowed time since the confirmation, in milliseconds
   * @returns true if the configuration is confirmed within that time
   */
  public async ensureFresh(maxAgeMs: number): Promise<boolean> {
    if (this.#confirmationAge.computeMs() <= maxAgeMs) return true;
    this.#pendingRead ??= this.#read().finally(() => {
      this.#pendingRead = undefined;
    });
    await this.#pendingRead;
    return this.#confirmationAge.computeMs() <= maxAgeMs;
  }

  async #read(): Promise<void> {
    const sentAt = performance.now();
    const sentAtWall = Date.now();
    const item = await this.#store.read(this.#decoder.configurationKey);
    if (item.isErr()) return;
    if (item.value !== undefined) this.#apply(item.value.key, item.value.value);
    this.#confirmationAge.confirm(sentAt, sentAtWall);
  }

  #apply(key: string, value: string | undefined): void {
    if (key !== this.#decoder.configurationKey || value === undefined) return;
    const configuration = this.#decoder.decodeConfiguration(value);
    if (configuration === undefined) {
      this.#log.write('configurationUnreadable', { key });
      return;
    }
    if (this.#current !== undefined && configuration.version <= this.#current.version) return;
    this.#current = configuration;
    this.#accountsByKey = new Map(
      configuration.accounts.flatMap(({ name, keys }) =>
        keys.map((apiKey) => [apiKey, name] as const),
      ),
    );
    this.#log.write('configurationTaken', { version: configuration.version });
    for (const listener of this.#listeners) listener(configuration);
  }
}
