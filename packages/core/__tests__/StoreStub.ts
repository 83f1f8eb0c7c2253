import type { Failure, StoreLease, StoreValue } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure, Store } from '../src/index.js';

/** Fault of a write: its answer is lost after it took effect, or the write itself is lost. */
type WriteFault = 'none' | 'loseAnswer' | 'loseWrite';

/** In-memory store whose next writes can be lost or lose their answer. */
export class StoreStub extends Store {
  readonly #values = new Map<string, { readonly value: string; readonly version: number }>();
  #faults: WriteFault[] = [];
  #writes = 0;
  /** Called before the next write, so that another writer can be first. */
  public beforeWrite: ((key: string) => Promise<void>) | undefined;

  /** Number of writes that took effect. */
  public get writes(): number {
    return this.#writes;
  }

  /**
   * Sets the faults of the next writes.
   *
   * @param faults - one per write
   */
  public failWrites(...faults: readonly WriteFault[]): void {
    this.#faults = [...faults];
  }

  /** {@inheritDoc Store.read} */
  public override read(key: string): Promise<Result<StoreValue, Failure>> {
    return Promise.resolve(ok({ version: 0, ...this.#values.get(key), key }));
  }

  /** {@inheritDoc Store.list} */
  public override list(prefix: string): Promise<Result<readonly StoreValue[], Failure>> {
    const found = [...this.#values].filter(([key]) => key.startsWith(prefix));
    return Promise.resolve(ok(found.map(([key, entry]) => ({ key, ...entry }))));
  }

  /** {@inheritDoc Store.write} */
  public override async write(
    key: string,
    value: string | undefined,
    ifVersion: number,
  ): Promise<Result<number, Failure>> {
    const before = this.beforeWrite;
    this.beforeWrite = undefined;
    await before?.(key);
    const fault = this.#faults.shift() ?? 'none';
    const version = this.#values.get(key)?.version ?? 0;
    if (fault === 'loseWrite') return err(createFailure('timeout', 'lost'));
    if (version !== ifVersion) return err(createFailure('storeConflict', 'changed'));
    this.#values.set(key, { value: value ?? '', version: version + 1 });
    this.#writes += 1;
    return fault === 'loseAnswer' ? err(createFailure('timeout', 'lost')) : ok(version + 1);
  }

  /** {@inheritDoc Store.grantLease} */
  public override grantLease(): Promise<Result<StoreLease, Failure>> {
    return this.#refuse();
  }

  /** {@inheritDoc Store.renewLease} */
  public override renewLease(): Promise<Result<StoreLease, Failure>> {
    return this.#refuse();
  }

  /** {@inheritDoc Store.revokeLease} */
  public override revokeLease(): Promise<Result<void, Failure>> {
    return this.#refuse();
  }

  /** {@inheritDoc Store.watch} */
  public override watch(): Promise<Result<StoreValue, Failure>> {
    return this.#refuse();
  }

  #refuse(): Promise<Result<never, Failure>> {
    return Promise.resolve(err(createFailure('storeUnavailable', 'not part of this stub')));
  }
}
