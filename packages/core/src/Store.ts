import type { Failure, StoreLease, StoreValue } from '@toucanline/schema';
import type { Result } from 'neverthrow';

/** The platform's key-value store. Only implementations know its protocol. */
export abstract class Store {
  /**
   * Reads a value.
   *
   * @param key - key to read
   * @returns the value with its version; version 0 if the key is absent; `storeUnavailable` if the read failed
   */
  public abstract read(key: string): Promise<Result<StoreValue, Failure>>;

  /**
   * Lists the values of all keys with a prefix.
   *
   * @param prefix - prefix of the keys
   * @returns the values in the order of their keys, or `storeUnavailable`
   */
  public abstract list(prefix: string): Promise<Result<readonly StoreValue[], Failure>>;

  /**
   * Writes a value if the key has the expected version (compare-and-swap). If the result is unknown, the caller
   * has to read the key and look for its own token.
   *
   * @param key - key to write
   * @param value - new value; undefined deletes the key
   * @param ifVersion - version that the key must have; 0 if it must be absent
   * @param lease - lease that the key is attached to; the key is removed when it expires or is revoked
   * @returns the new version; `storeConflict` if the version differs; `timeout` if the result is
   * unknown; `storeUnavailable` if the write certainly had no effect
   */
  public abstract write(
    key: string,
    value: string | undefined,
    ifVersion: number,
    lease?: string,
  ): Promise<Result<number, Failure>>;

  /**
   * Creates a lease.
   *
   * @param ttlMs - time to live in milliseconds
   * @returns the lease, or `storeUnavailable`
   */
  public abstract grantLease(ttlMs: number): Promise<Result<StoreLease, Failure>>;

  /**
   * Renews a lease.
   *
   * @param lease - identifier of the lease
   * @returns the lease; `staleRevision` if it has expired; `storeUnavailable` if the call failed
   */
  public abstract renewLease(lease: string): Promise<Result<StoreLease, Failure>>;

  /**
   * Revokes a lease and removes its keys.
   *
   * @param lease - identifier of the lease
   * @returns nothing; `storeUnavailable`, or `timeout` if it may have been revoked
   */
  public abstract revokeLease(lease: string): Promise<Result<void, Failure>>;

  /**
   * Waits until a key has a version above the given one.
   *
   * @param key - key to watch
   * @param afterVersion - version that the caller knows
   * @param waitMs - longest wait in milliseconds
   * @returns the newer value; the current one if nothing changed; `storeUnavailable` if the call failed
   */
  public abstract watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<StoreValue, Failure>>;
}
