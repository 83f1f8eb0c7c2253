import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import type { Store } from './Store.js';

/** Delay before a write whose result is unknown is repeated. */
const retryDelayMs = 200;

/** Writes records and determines the result of a write whose answer was lost. */
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

  /** Whether the writer was closed. */
  public get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Stops repeating writes whose result is unknown. */
  public close(): void {
    this.#isClosed = true;
  }

  /**
   * Writes a value. If the answer is lost, the write is repeated with the same expected version. The repeated
   * write either takes effect or fails with a conflict; in both cases the first one can no longer take effect.
   *
   * @param key - key to write
   * @param value - new value; contains the token
   * @param token - unique token of this write
   * @param ifVersion - version that the key must have
   * @returns the new version; `storeConflict` or `storeUnavailable` if the write certainly had no
   * effect; `outcomeUnknown` if the writer was closed or the result cannot be determined
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
      await this.#clock.sleep(retryDelayMs);
    }
    return err(createFailure('outcomeUnknown', `the result of the write of ${key} is unknown`));
  }
}
