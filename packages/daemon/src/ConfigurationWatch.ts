import type { MetadataStore, StoreDecoder } from '@toucanline/jobs';
import type { SiteConfiguration } from '@toucanline/schema';
import { ConfirmationAge } from './ConfirmationAge.js';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';
import { StoreFeed } from './StoreFeed.js';

/** The operator's newest configuration. It never goes back to an older version within one process. */
export class ConfigurationWatch {
  readonly #store: MetadataStore;
  readonly #operator: StoreDecoder;
  readonly #log: DecisionLog;
  readonly #age = new ConfirmationAge();
  readonly #feed: StoreFeed;
  readonly #listeners = new Set<(configuration: SiteConfiguration) => void>();
  #current: SiteConfiguration | undefined;
  #refresh: Promise<void> | undefined;
  #accounts: ReadonlyMap<string, string> = new Map();

  /**
   * @param store - the store
   * @param operator - decodes the configuration
   * @param log - log of the process
   */
  public constructor(store: MetadataStore, operator: StoreDecoder, log: DecisionLog) {
    this.#store = store;
    this.#operator = operator;
    this.#log = log;
    this.#feed = new StoreFeed(store, operator.configurationKey, hostTimes.configurationWaitMs, {
      replace: (items) => {
        for (const item of items) this.#take(item.key, item.value);
      },
      change: (item) => {
        this.#take(item.key, item.value);
      },
      confirm: (monotonicAt, wallAt) => {
        this.#age.confirm(monotonicAt, wallAt);
      },
    });
  }

  /** Newest configuration, if any is known. */
  public get current(): SiteConfiguration | undefined {
    return this.#current;
  }

  /** Age of the newest confirmation, in milliseconds. */
  public get ageMs(): number {
    return this.#age.read();
  }

  /** Follows the configuration until the process ends. */
  public start(): void {
    void this.#feed.run();
  }

  /** Stops to follow. */
  public stop(): void {
    this.#feed.stop();
  }

  /** @param listener - called with each new version */
  public onChange(listener: (configuration: SiteConfiguration) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Finds the account of a key.
   *
   * @param key - key of a call
   * @returns name of the account; undefined for an unknown key
   */
  public findAccount(key: string): string | undefined {
    return this.#accounts.get(key);
  }

  /**
   * Makes sure that the configuration is young enough, by a read if necessary.
   *
   * @param maxAgeMs - largest age of the confirmation, in milliseconds
   * @returns whether it is
   */
  public async confirm(maxAgeMs: number): Promise<boolean> {
    if (this.#age.read() <= maxAgeMs) return true;
    this.#refresh ??= this.#read().finally(() => {
      this.#refresh = undefined;
    });
    await this.#refresh;
    return this.#age.read() <= maxAgeMs;
  }

  async #read(): Promise<void> {
    const sentAt = performance.now();
    const sentWall = Date.now();
    const item = await this.#store.read(this.#operator.configurationKey);
    if (item.isErr()) return;
    if (item.value !== undefined) this.#take(item.value.key, item.value.value);
    this.#age.confirm(sentAt, sentWall);
  }

  #take(key: string, value: string | undefined): void {
    if (key !== this.#operator.configurationKey || value === undefined) return;
    const configuration = this.#operator.decodeConfiguration(value);
    if (configuration === undefined) {
      this.#log.write('configurationUnreadable', { key });
      return;
    }
    if (this.#current !== undefined && configuration.version <= this.#current.version) return;
    this.#current = configuration;
    this.#accounts = new Map(
      configuration.accounts.flatMap(({ name, keys }) => keys.map((each) => [each, name] as const)),
    );
    this.#log.write('configurationTaken', { version: configuration.version });
    for (const listener of this.#listeners) listener(configuration);
  }
}
