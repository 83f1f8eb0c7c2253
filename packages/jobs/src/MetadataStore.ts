import type { Failure } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import type { StoreItem } from './StoreItem.js';

/** Items and the revision of the store at which they were read. */
interface StorePage {
  readonly items: readonly StoreItem[];
  readonly revision: number;
}

/** Writes that take effect together or not at all. */
interface StoreTransaction {
  /** Revisions that must still hold; 0 means that the key does not exist. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly put: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number | undefined;
  }[];
  readonly remove?: readonly string[];
}

/** Outcome of a transaction that the store answered. */
type CommitOutcome =
  | { readonly committed: true; readonly revision: number }
  | { readonly committed: false; readonly items: readonly StoreItem[] };

/**
 * Key-value store with transactions, leases and watches. Failures of kind `storeUnavailable` had no effect;
 * after `timeout` it is unknown.
 */
export abstract class MetadataStore {
  /**
   * Reads an item, linearizably.
   *
   * @param key - its key
   * @returns the item; undefined if it does not exist
   */
  public abstract read(key: string): Promise<Result<StoreItem | undefined, Failure>>;

  /**
   * Asks for a sign of life with the cheapest call that there is.
   *
   * @param timeoutMs - longest wait in milliseconds
   * @returns whether the store answered in time
   */
  public abstract ping(timeoutMs: number): Promise<boolean>;

  /**
   * Reads all items with a prefix.
   *
   * @param prefix - the prefix
   * @returns the items, and the revision from which a watch sees every later change
   */
  public abstract list(prefix: string): Promise<Result<StorePage, Failure>>;

  /**
   * Waits for changes.
   *
   * @param prefix - prefix of the keys
   * @param after - revision after which changes count
   * @param waitMs - longest wait, in milliseconds
   * @returns changes in order; `staleRevision` if the history is gone
   */
  public abstract watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<StorePage, Failure>>;

  /**
   * Commits a transaction.
   *
   * @param transaction - conditions and writes, at most 32 together
   * @returns whether it was committed
   */
  public abstract commit(transaction: StoreTransaction): Promise<Result<CommitOutcome, Failure>>;

  /**
   * Grants a lease.
   *
   * @param ttlMs - time to live in milliseconds
   * @returns its id
   */
  public abstract grantLease(ttlMs: number): Promise<Result<number, Failure>>;

  /**
   * Renews a lease.
   *
   * @param lease - its id
   * @returns whether it still existed
   */
  public abstract renewLease(lease: number): Promise<Result<boolean, Failure>>;

  /**
   * Ends a lease; its keys are removed.
   *
   * @param lease - its id
   */
  public abstract revokeLease(lease: number): Promise<Result<void, Failure>>;
}
