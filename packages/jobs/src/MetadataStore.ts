import type { Failure } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { StoreItem } from './StoreItem.js';

/** Items, and the store revision at which they were read. */
interface StorePage {
  readonly items: readonly StoreItem[];
  readonly revision: number;
}

/** A set of writes that take effect atomically. */
interface StoreTransaction {
  /** Conditions: current revision of each key; 0 requires that the key does not exist. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly put: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number | undefined;
  }[];
  readonly remove?: readonly string[];
}

/** Outcome of a transaction to which the store responded; a rejected one returns the current items. */
type CommitOutcome =
  | { readonly committed: true; readonly revision: number }
  | { readonly committed: false; readonly items: readonly StoreItem[] };

/**
 * Key-value store with transactions, leases and watches. An operation that failed with `storeUnavailable` had no
 * effect; after `timeout` its effect is unknown.
 */
export abstract class MetadataStore {
  /**
   * Reads an item with linearizable consistency.
   *
   * @param key - key of the item
   * @returns the item; undefined if it does not exist
   */
  public abstract read(key: string): Promise<Result<StoreItem | undefined, Failure>>;

  /**
   * Checks whether the store responds, with the cheapest call available.
   *
   * @param timeoutMs - timeout in milliseconds
   * @returns whether the store responded in time
   */
  public abstract ping(timeoutMs: number): Promise<boolean>;

  /**
   * Reads all items whose keys have a prefix.
   *
   * @param prefix - prefix of the keys
   * @returns the items, and the revision from which a watch receives every later change
   */
  public abstract list(prefix: string): Promise<Result<StorePage, Failure>>;

  /**
   * Waits for changes.
   *
   * @param prefix - prefix of the keys
   * @param after - revision after which changes are returned
   * @param waitMs - longest wait in milliseconds
   * @returns changes in order; a failure `staleRevision` if the store no longer has the history since the revision
   */
  public abstract watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<StorePage, Failure>>;

  /**
   * Commits a transaction.
   *
   * @param transaction - conditions and writes, at most 32 in total
   * @returns whether the transaction was committed, and its revision or the current items
   */
  public abstract commit(transaction: StoreTransaction): Promise<Result<CommitOutcome, Failure>>;

  /**
   * Grants a lease.
   *
   * @param ttlMs - time to live in milliseconds
   * @returns id of the lease
   */
  public abstract grantLease(ttlMs: number): Promise<Result<number, Failure>>;

  /**
   * Renews a lease.
   *
   * @param lease - id of the lease
   * @returns whether the lease still existed
   */
  public abstract renewLease(lease: number): Promise<Result<boolean, Failure>>;

  /**
   * Revokes a lease and removes its keys.
   *
   * @param lease - id of the lease
   */
  public abstract revokeLease(lease: number): Promise<Result<void, Failure>>;
}
