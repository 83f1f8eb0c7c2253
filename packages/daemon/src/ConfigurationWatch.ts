import type { MetadataStore, StoreDecoder } from '@toucanline/jobs';
import type { SiteConfiguration } from '@toucanline/schema';
import { ConfirmationAge } from './ConfirmationAge.js';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import { PrefixWatch } from './PrefixWatch.js';

/** The operator's newest configuration. It never goes back to an older version within one process. */
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
   * @param store - the store
   * @param operator - decodes the configuration
   * @param log - log of the process
   */
  public constructor(store: MetadataStore, operator: StoreDecoder, log: EventLog) {
    this.#store = store;
    this.#decoder = operator;
    this.#log = log;
    this.#watch = new PrefixWatch(
      store,
      operator.configurationKey,
      hostLimits.configurationWatchMs,
      {
        onSnapshot: (items) => {
          for (const item of items) this.#apply(item.key, item.value);
        },
        onChange: (item) => {
          this.#apply(item.key, item.value);
        },
        onConfirmed: (monotonicAt, wallAt) => {
          this.#confirmationAge.confirm(monotonicAt, wallAt);
        },
      },
    );
  }

  /** Newest configuration, if any is known. */
  public get current(): SiteConfiguration | undefined {
    return this.#current;
  }

  /** Age of the newest confirmation, in milliseconds. */
  public get ageMs(): number {
    return this.#confirmationAge.computeMs();
  }

  /** Follows the configuration until the process ends. */
  public start(): void {
    void this.#watch.run();
  }

  /** Stops to follow. */
  public stop(): void {
    this.#watch.stop();
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
    return this.#accountsByKey.get(key);
  }

  /**
   * Makes sure that the configuration is young enough, by a read if necessary.
   *
   * @param maxAgeMs - largest age of the confirmation, in milliseconds
   * @returns whether it is
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
    const sentWall = Date.now();
    const item = await this.#store.read(this.#decoder.configurationKey);
    if (item.isErr()) return;
    if (item.value !== undefined) this.#apply(item.value.key, item.value.value);
    this.#confirmationAge.confirm(sentAt, sentWall);
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
      configuration.accounts.flatMap(({ name, keys }) => keys.map((each) => [each, name] as const)),
    );
    this.#log.write('configurationTaken', { version: configuration.version });
    for (const listener of this.#listeners) listener(configuration);
  }
}
