import { validators, type Failure, type StoreValue } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import type { ConfigurationHolder } from './ConfigurationHolder.js';
import type { KeyListAge } from './KeyListAge.js';
import type { KeyRing } from './KeyRing.js';
import { parseRecord } from './parseRecord.js';
import type { Store } from './Store.js';

/** Longest wait of one watch call. */
const watchWaitMs = 2000;
/**
 * Intervals of reads without a watch. Most revisions arrive earlier in notices of peers; the reads alone meet the
 * targets of 5 s for the configuration and 3 s for keys.
 */
const configurationReadIntervalMs = 4000;
const keysReadIntervalMs = 2000;
/** Interval at which an idle process checks whether it has become the watcher. */
const watcherCheckIntervalMs = 500;
/** Delay after a failed call. */
const retryDelayMs = 500;

/** Outcome of a stored record: applied, no newer than the known one, or unreadable. */
type Outcome = 'applied' | 'unchanged' | 'unreadable';

/** Services and callbacks that the synchronisation uses. */
interface SyncDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly configurationHolder: ConfigurationHolder;
  readonly keyRing: KeyRing;
  /** Records when the key list was last known to be the newest. */
  readonly keyListAge: KeyListAge;
  /** Whether this process watches the store; other processes read at intervals and get notices of peers. */
  readonly isWatcher: () => boolean;
  /** Called after a newer revision was applied. */
  readonly onChange: () => void;
}

/** Keeps the configuration and the keys of a process up to date with the store. */
export class RevisionSync {
  readonly #dependencies: SyncDependencies;
  readonly #environment: string;
  #hasStopped = false;

  /**
   * @param dependencies - services and callbacks to use
   * @param environment - name of the environment
   */
  public constructor(dependencies: SyncDependencies, environment: string) {
    this.#dependencies = dependencies;
    this.#environment = environment;
  }

  /** Starts following both records. */
  public start(): void {
    const { configurationHolder, keyRing, clock, keyListAge } = this.#dependencies;
    void this.#follow(`configuration/${this.#environment}`, configurationReadIntervalMs, (text) => {
      const parsed = parseRecord(validators.Configuration, text);
      if (parsed.isErr()) return 'unreadable';
      return configurationHolder.apply(parsed.value).unwrapOr(false) ? 'applied' : 'unchanged';
    });
    const applyKeys = (text: string): Outcome => {
      const parsed = parseRecord(validators.KeyList, text);
      if (parsed.isErr()) return 'unreadable';
      return keyRing.apply(parsed.value) ? 'applied' : 'unchanged';
    };
    void this.#follow(`keys/${this.#environment}`, keysReadIntervalMs, applyKeys, (confirmedAt) => {
      keyListAge.confirm(clock.now() - confirmedAt);
    });
  }

  /** Stops following the records. */
  public stop(): void {
    this.#hasStopped = true;
  }

  async #follow(
    key: string,
    readIntervalMs: number,
    apply: (text: string) => Outcome,
    onConfirmed?: (confirmedAt: number) => void,
  ): Promise<void> {
    const { clock, onChange } = this.#dependencies;
    let version = 0;
    let isReadable = true;
    while (!this.#isStopped()) {
      const sentAt = clock.now();
      const isWatching = this.#dependencies.isWatcher();
      const result = await this.#readNext(key, version, isWatching);
      if (this.#isStopped()) return;
      if (result.isErr()) {
        await clock.sleep(retryDelayMs);
        continue;
      }
      const { value, version: newVersion } = result.value;
      const isNewer = newVersion > version && value !== undefined;
      // A watch without a change was held for its whole duration, so the store checked the key at its end.
      const isHeld = isWatching && newVersion === version;
      const confirmedAt = isHeld ? Math.min(clock.now(), sentAt + watchWaitMs) : sentAt;
      version = newVersion;
      if (isNewer) {
        const outcome = apply(value);
        isReadable = outcome !== 'unreadable';
        if (outcome === 'applied') onChange();
      }
      // What this process knows is not the newest record if the newest one cannot be read.
      if (isReadable) onConfirmed?.(confirmedAt);
      await this.#waitForNextRead(readIntervalMs);
    }
  }

  /** Waits until the next read. Returns early if this process becomes the watcher of its data centre. */
  async #waitForNextRead(readIntervalMs: number): Promise<void> {
    const { clock, isWatcher } = this.#dependencies;
    const endsAt = clock.now() + readIntervalMs;
    while (!this.#isStopped() && !isWatcher() && clock.now() < endsAt) {
      await clock.sleep(watcherCheckIntervalMs);
    }
  }

  /** A method, because the compiler assumes that a field does not change during an await. */
  #isStopped(): boolean {
    return this.#hasStopped;
  }

  #readNext(
    key: string,
    version: number,
    isWatching: boolean,
  ): Promise<Result<StoreValue, Failure>> {
    const { store } = this.#dependencies;
    return isWatching ? store.watch(key, version, watchWaitMs) : store.read(key);
  }
}
