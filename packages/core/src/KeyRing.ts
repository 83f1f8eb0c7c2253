import type { Failure, Key, KeyList } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { equalsHash } from './equalsHash.js';
import type { EventRecorder } from './EventRecorder.js';

/** Holds the newest list of API keys that a process knows. Its revision never decreases. */
export class KeyRing {
  readonly #recorder: EventRecorder;
  #list: KeyList | undefined;

  /** @param recorder - records an event for each applied revision */
  public constructor(recorder: EventRecorder) {
    this.#recorder = recorder;
  }

  /** Revision in effect; 0 before the first one. */
  public get revision(): number {
    return this.#list?.revision ?? 0;
  }

  /** The list in effect, if any. */
  public get list(): KeyList | undefined {
    return this.#list;
  }

  /**
   * Applies a list from the store or from a peer if it is newer than the one in effect.
   *
   * @param list - the list
   * @returns true if it was applied
   */
  public apply(list: KeyList): boolean {
    if (list.revision <= this.revision) return false;
    this.#list = list;
    this.#recorder.record('keysApplied', { revision: list.revision });
    return true;
  }

  /**
   * Authenticates a key.
   *
   * @param hash - SHA-256 of the presented key, in hexadecimal
   * @returns the key; `unauthenticated` if it is unknown; `withdrawnKey` if it was withdrawn
   */
  public authenticate(hash: string): Result<Key, Failure> {
    let found: Key | undefined;
    for (const key of this.#list?.keys ?? []) if (equalsHash(key.hash, hash)) found = key;
    if (found === undefined) return err(createFailure('unauthenticated', 'the key is unknown'));
    if (found.withdrawnAtMs !== undefined) {
      return err(createFailure('withdrawnKey', `the key ${found.id} was withdrawn`));
    }
    return ok(found);
  }

  /**
   * Checks whether a key was withdrawn.
   *
   * @param id - identifier of the key
   * @returns true if the list marks the key as withdrawn; false if the key is not in the list, because it may
   * be newer than the list
   */
  public isWithdrawn(id: string): boolean {
    const key = this.#list?.keys.find((candidate) => candidate.id === id);
    return key?.withdrawnAtMs !== undefined;
  }
}
