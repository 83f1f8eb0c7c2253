import type { Failure, StoreLease, StoreValue } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { createFailure, Store } from '../src/index.js';

/** Store as seen by one data centre, which a test can cut off from it. */
export class PartitionableStore extends Store {
  public isCutOff = false;
  readonly #target: Store;

  /** @param target - store that is used while the data centre is connected */
  public constructor(target: Store) {
    super();
    this.#target = target;
  }

  public override read(key: string): Promise<Result<StoreValue, Failure>> {
    return this.#call(() => this.#target.read(key));
  }

  public override list(prefix: string): Promise<Result<readonly StoreValue[], Failure>> {
    return this.#call(() => this.#target.list(prefix));
  }

  public override write(
    key: string,
    value: string | undefined,
    ifVersion: number,
    lease?: string,
  ): Promise<Result<number, Failure>> {
    return this.#call(() => this.#target.write(key, value, ifVersion, lease));
  }

  public override grantLease(ttlMs: number): Promise<Result<StoreLease, Failure>> {
    return this.#call(() => this.#target.grantLease(ttlMs));
  }

  public override renewLease(lease: string): Promise<Result<StoreLease, Failure>> {
    return this.#call(() => this.#target.renewLease(lease));
  }

  public override revokeLease(lease: string): Promise<Result<void, Failure>> {
    return this.#call(() => this.#target.revokeLease(lease));
  }

  public override watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<StoreValue, Failure>> {
    return this.#call(() => this.#target.watch(key, afterVersion, waitMs));
  }

  #call<T>(call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    if (!this.isCutOff) return call();
    return Promise.resolve(err(createFailure('storeUnavailable', 'the data centre is cut off')));
  }
}
