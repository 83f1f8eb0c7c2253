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

/** What the editor works with. */
interface EditorDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A changed list with the key that the change was about. */
interface ChangedList {
  readonly list: KeyList;
  readonly key: Key;
}

/** What a change makes of the list: `keys` is undefined if it is in effect already. */
interface Edit {
  readonly key: Key;
  readonly keys?: readonly Key[];
}

/**
 * Grants and withdraws API keys in the store. Both operations may be repeated: what is in effect already
 * is not written again, which also settles a write whose answer was lost.
 */
export class KeyEditor {
  readonly #dependencies: EditorDependencies;
  readonly #key: string;

  /**
   * @param parts - what the editor works with
   * @param environment - name of the environment
   */
  public constructor(parts: EditorDependencies, environment: string) {
    this.#dependencies = parts;
    this.#key = `keys/${environment}`;
  }

  /**
   * Grants a key.
   *
   * @param grant - hash, team and roles
   * @returns the list with the key; `malformedRequest` if a submitter has no team; `conflictingKey` if
   * the id or the hash belongs to another key; `storeUnavailable`; `timeout`
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
      return err(createFailure('conflictingKey', `the key ${known.id} exists already`));
    });
  }

  /**
   * Withdraws a key.
   *
   * @param id - identifier of the key
   * @returns the list with the key; `unknownKey`; `storeUnavailable`; `timeout`
   */
  public withdraw(id: string): Promise<Result<ChangedList, Failure>> {
    return this.#edit((keys) => {
      const known = keys.find((key) => key.id === id);
      if (known === undefined) return err(createFailure('unknownKey', `no key ${id}`));
      if (known.withdrawnAtMs !== undefined) return ok({ key: known });
      const key = { ...known, withdrawnAtMs: this.#dependencies.clock.wallTime() };
      return ok({ key, keys: keys.map((other) => (other.id === id ? key : other)) });
    });
  }

  /**
   * Reads all keys.
   *
   * @returns the list; an empty one of revision 0 if there is none; `storeUnavailable`
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
    // A write without an answer may still take effect, whatever fails after it.
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
        const detail = `the list of keys is full at ${documentLimits.maxEncodedBytes} bytes`;
        return err(createFailure('bodyTooLarge', detail));
      }
      const written = await store.write(this.#key, text, stored.value.version);
      if (written.isOk()) return ok({ list: next, key });
      if (last.kind !== 'timeout') last = written.error;
    }
    return err(last);
  }
}
