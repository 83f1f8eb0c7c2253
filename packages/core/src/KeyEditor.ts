import {
  validators,
  type Failure,
  type Key,
  type KeyGrant,
  type KeyList,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { countBytes } from './countBytes.js';
import { createFailure } from './createFailure.js';
import { createRecordDecoder } from './createRecordDecoder.js';
import { documentLimits } from './documentLimits.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';

const maxAttempts = 6;
const retryDelayMs = 50;

/** Dependencies of the editor. */
interface EditorDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** List of keys after a change, with the key that was changed. */
interface ChangedList {
  readonly list: KeyList;
  readonly key: Key;
}

/** Result of a change; `keys` is undefined if the change is already in effect. */
interface Edit {
  readonly key: Key;
  readonly keys?: readonly Key[];
}

/**
 * Grants and withdraws API keys in the store. Both operations are idempotent: a change that is already in
 * effect is not written again, which also resolves a write whose response was lost.
 */
export class KeyEditor {
  readonly #dependencies: EditorDependencies;
  readonly #key: string;

  /**
   * @param dependencies - dependencies of the editor
   * @param environment - name of the environment
   */
  public constructor(dependencies: EditorDependencies, environment: string) {
    this.#dependencies = dependencies;
    this.#key = `keys/${environment}`;
  }

  /**
   * Grants a key.
   *
   * @param grant - id, hash, team and roles of the key
   * @returns the list with the key; `malformedRequest` if a key with the role `submit` has no team; `conflictingKey`
   * if the id or the hash belongs to another key; `bodyTooLarge` if the list is full; `storeUnavailable`; `timeout`
   */
  public grant(grant: KeyGrant): Promise<Result<ChangedList, Failure>> {
    if (grant.roles.includes('submit') && grant.team === undefined) {
      const detail = 'team: found nothing; a key with the role submit belongs to a team';
      return Promise.resolve(err(createFailure('malformedRequest', detail)));
    }
    return this.#edit((keys) => {
      const known = keys.find(({ id, hash }) => id === grant.id || hash === grant.hash);
      if (known === undefined) {
        const key = { ...grant, grantedAtMs: this.#dependencies.clock.wallTime() };
        return ok({ key, keys: [...keys, key] });
      }
      const isSame =
        known.id === grant.id &&
        known.hash === grant.hash &&
        known.team === grant.team &&
        known.withdrawnAtMs === undefined;
      if (isSame) return ok({ key: known });
      return err(createFailure('conflictingKey', `the key ${known.id} already exists`));
    });
  }

  /**
   * Withdraws a key.
   *
   * @param id - identifier of the key
   * @returns the list with the key; `unknownKey` if there is no such key; `storeUnavailable`; `timeout`
   */
  public withdraw(id: string): Promise<Result<ChangedList, Failure>> {
    return this.#edit((keys) => {
      const known = keys.find((key) => key.id === id);
      if (known === undefined)
        return err(createFailure('unknownKey', `the key ${id} does not exist`));
      if (known.withdrawnAtMs !== undefined) return ok({ key: known });
      const key = { ...known, withdrawnAtMs: this.#dependencies.clock.wallTime() };
      return ok({ key, keys: keys.map((other) => (other.id === id ? key : other)) });
    });
  }

  /**
   * Reads the list of keys.
   *
   * @returns the list; an empty list of revision 0 if none is stored; `storeUnavailable`
   */
  public async readKeys(): Promise<Result<KeyList, Failure>> {
    const stored = await this.#dependencies.store.read(this.#key);
    return stored
      .andThen(createRecordDecoder(validators.KeyList))
      .map((list) => list ?? { revision: 0, token: 'none', keys: [] });
  }

  async #edit(
    change: (keys: readonly Key[]) => Result<Edit, Failure>,
  ): Promise<Result<ChangedList, Failure>> {
    const { store, clock, random } = this.#dependencies;
    // A write that timed out may still take effect, so `timeout` is kept over any later failure.
    let last = createFailure('storeUnavailable', 'the store does not answer');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) await clock.sleep(retryDelayMs * attempt);
      const stored = await store.read(this.#key);
      if (stored.isErr()) {
        if (last.kind !== 'timeout') last = stored.error;
        continue;
      }
      const decoded = createRecordDecoder(validators.KeyList)(stored.value);
      if (decoded.isErr()) return err(decoded.error);
      const list = decoded.value ?? { revision: 0, token: 'none', keys: [] };
      const edit = change(list.keys);
      if (edit.isErr()) return err(edit.error);
      const { key, keys } = edit.value;
      if (keys === undefined) return ok({ list, key });
      const next: KeyList = { revision: list.revision + 1, token: random.token(), keys };
      const text = JSON.stringify(next);
      if (countBytes(text) > documentLimits.maxEncodedBytes) {
        const detail = `the list of keys would exceed ${documentLimits.maxEncodedBytes} bytes`;
        return err(createFailure('bodyTooLarge', detail));
      }
      const written = await store.write(this.#key, text, stored.value.version);
      if (written.isOk()) return ok({ list: next, key });
      if (last.kind !== 'timeout') last = written.error;
    }
    return err(last);
  }
}
