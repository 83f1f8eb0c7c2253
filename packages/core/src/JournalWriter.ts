import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import type { Store } from './Store.js';

const retryMs = 200;

/** Writes records whose result must be known before the next step. */
export class JournalWriter {
  readonly #store: Store;
  readonly #clock: Clock;
  #isClosed = false;

  /**
   * @param store - the platform's store
   * @param clock - source of time
   */
  public constructor(store: Store, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** Whether this ownership ended. */
  public get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Ends the attempts to settle a write. */
  public close(): void {
    this.#isClosed = true;
  }

  /**
   * Writes a value. If the answer is lost, the same write is repeated with the same expected version: it
   * either takes effect or meets a conflict, and in both cases the first one cannot take effect later.
   *
   * @param key - key to write
   * @param value - new value, which holds the token
   * @param token - unique token of this write
   * @param ifVersion - version that the key must have
   * @returns the new version; `storeConflict` or `storeUnavailable` if the write certainly did not
   * happen; `outcomeUnknown` if that cannot be proved
   */
  public async write(
    key: string,
    value: string,
    token: string,
    ifVersion: number,
  ): Promise<Result<number, Failure>> {
    const first = await this.#store.write(key, value, ifVersion);
    if (first.isOk() || first.error.kind !== 'timeout') return first;
    while (!this.#isClosed) {
      const repeated = await this.#store.write(key, value, ifVersion);
      if (repeated.isOk()) return repeated;
      const { kind } = repeated.error;
      const current = await this.#store.read(key);
      if (current.isOk() && current.value.value?.includes(token) === true) {
        return ok(current.value.version);
      }
      if (kind === 'storeConflict' && current.isOk()) break;
      await this.#clock.sleep(retryMs);
    }
    return err(createFailure('outcomeUnknown', `the result of the write of ${key} is unknown`));
  }
}
