import { validators, type Failure, type StoreValue } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import type { ConfigurationHolder } from './ConfigurationHolder.js';
import type { KeyListAge } from './KeyListAge.js';
import type { KeyRing } from './KeyRing.js';
import type { Store } from './Store.js';
import { validateValue } from './validateValue.js';

const watchMs = 2000;
/**
 * Periods of reads without a watch. Notices of peers bring most revisions; alone, the reads keep the
 * targets of 5 s for the configuration and 3 s for keys.
 */
const configurationReadMs = 4000;
const keysReadMs = 2000;
const idleSliceMs = 500;
const retryMs = 500;

/** What the synchronisation works with. */
interface SyncDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly holder: ConfigurationHolder;
  readonly keyRing: KeyRing;
  /** Notes when the key list was last known to be the newest. */
  readonly keyListAge: KeyListAge;
  /** Whether this process keeps a watch in the store; others read now and then and ask peers. */
  readonly isWatcher: () => boolean;
  /** Called after each newer revision. */
  readonly onChange: () => void;
}

/** Keeps configuration and keys of a process up to date with the store. */
export class RevisionSync {
  readonly #dependencies: SyncDependencies;
  readonly #environment: string;
  #hasStopped = false;

  /**
   * @param parts - what the synchronisation works with
   * @param environment - name of the environment
   */
  public constructor(parts: SyncDependencies, environment: string) {
    this.#dependencies = parts;
    this.#environment = environment;
  }

  /** Starts to follow both records. */
  public start(): void {
    const { holder, keyRing, clock, keyListAge: keysContact } = this.#dependencies;
    void this.#follow(`configuration/${this.#environment}`, configurationReadMs, (data) => {
      const parsed = validateValue(validators.Configuration, data, 'internal');
      return parsed.isOk() && holder.apply(parsed.value).unwrapOr(false);
    });
    const applyKeys = (data: unknown): boolean => {
      const parsed = validateValue(validators.KeyList, data, 'internal');
      return parsed.isOk() && keyRing.apply(parsed.value);
    };
    void this.#follow(`keys/${this.#environment}`, keysReadMs, applyKeys, (confirmedAt) => {
      keysContact.confirm(clock.now() - confirmedAt);
    });
  }

  /** Stops to follow. */
  public stop(): void {
    this.#hasStopped = true;
  }

  async #follow(
    key: string,
    idleMs: number,
    apply: (data: unknown) => boolean,
    onContact?: (confirmedAt: number) => void,
  ): Promise<void> {
    const { clock, onChange } = this.#dependencies;
    let version = 0;
    while (!this.#isStopped()) {
      const askedAt = clock.now();
      const isWatching = this.#dependencies.isWatcher();
      const result = await this.#readNext(key, version, isWatching);
      if (this.#isStopped()) return;
      if (result.isErr()) {
        await clock.sleep(retryMs);
        continue;
      }
      const { value, version: newVersion } = result.value;
      const isNewer = newVersion > version && value !== undefined;
      // The store held an unchanged watch for its whole time, so it looked at the key after that time.
      const isHeld = isWatching && newVersion === version;
      const confirmedAt = isHeld ? Math.min(clock.now(), askedAt + watchMs) : askedAt;
      version = newVersion;
      if (isNewer && apply(JSON.parse(value))) onChange();
      onContact?.(confirmedAt);
      await this.#waitForNextRead(idleMs);
    }
  }

  /** A process that becomes the watcher of its data centre watches at once, not after the idle time. */
  async #waitForNextRead(idleMs: number): Promise<void> {
    const { clock, isWatcher } = this.#dependencies;
    const endsAt = clock.now() + idleMs;
    while (!this.#isStopped() && !isWatcher() && clock.now() < endsAt) {
      await clock.sleep(idleSliceMs);
    }
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isStopped(): boolean {
    return this.#hasStopped;
  }

  #readNext(
    key: string,
    version: number,
    isWatching: boolean,
  ): Promise<Result<StoreValue, Failure>> {
    const { store } = this.#dependencies;
    return isWatching ? store.watch(key, version, watchMs) : store.read(key);
  }
}
