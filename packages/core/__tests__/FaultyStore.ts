import type { Failure, StoreLease, StoreValue } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure, Store, type Clock } from '../src/index.js';

/**
 * Fault of a write. `lost`: it takes effect, but its answer is lost. `dropped`: it has no effect and its answer is
 * lost. `late`: it takes effect after its caller got a timeout. `down`: the store refuses it.
 */
type WriteFault = 'none' | 'lost' | 'dropped' | 'late' | 'down';

/** In-memory store with leases whose writes fail as a test demands. */
export class FaultyStore extends Store {
  public writeFaults: WriteFault[] = [];
  public isDown = false;
  readonly #clock: Clock;
  readonly #values = new Map<string, { value?: string; version: number; lease?: string }>();
  readonly #leases = new Map<string, number>();
  #late: (() => void)[] = [];
  #granted = 0;

  public constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  public get keys(): readonly string[] {
    return [...this.#values].filter(([, { value }]) => value !== undefined).map(([key]) => key);
  }

  /** Applies the late writes, whose callers got a timeout. */
  public applyLateWrites(): void {
    for (const apply of this.#late) apply();
    this.#late = [];
  }

  public override read(key: string): Promise<Result<StoreValue, Failure>> {
    this.#expire();
    return Promise.resolve(this.#check().map(() => this.#peek(key)));
  }

  public override list(prefix: string): Promise<Result<readonly StoreValue[], Failure>> {
    const keys = this.keys.filter((key) => key.startsWith(prefix)).sort();
    return Promise.resolve(this.#check().map(() => keys.map((key) => this.#peek(key))));
  }

  public override write(
    key: string,
    value: string | undefined,
    ifVersion: number,
    lease?: string,
  ): Promise<Result<number, Failure>> {
    this.#expire();
    const fault = this.isDown ? 'down' : (this.writeFaults.shift() ?? 'none');
    if (fault === 'down') return Promise.resolve(this.#check(true).map(() => 0));
    const apply = (): Result<number, Failure> => {
      if (this.#peek(key).version !== ifVersion) return err(createFailure('storeConflict', key));
      if (lease !== undefined && !this.#leases.has(lease)) {
        return err(createFailure('storeConflict', 'the lease is gone'));
      }
      const version = (this.#values.get(key)?.version ?? 0) + 1;
      this.#values.set(key, {
        version,
        ...(value === undefined ? {} : { value }),
        ...(lease === undefined ? {} : { lease }),
      });
      return ok(version);
    };
    if (fault === 'none') return Promise.resolve(apply());
    if (fault === 'lost') apply();
    if (fault === 'late') this.#late.push(apply);
    return Promise.resolve(err(createFailure('timeout', fault)));
  }

  public override grantLease(ttlMs: number): Promise<Result<StoreLease, Failure>> {
    this.#granted += 1;
    const lease = `lease-${this.#granted}`;
    this.#leases.set(lease, this.#clock.now() + ttlMs);
    return Promise.resolve(this.#check().map(() => ({ lease, ttlMs })));
  }

  public override renewLease(lease: string): Promise<Result<StoreLease, Failure>> {
    this.#expire();
    const isGone = !this.isDown && !this.#leases.has(lease);
    if (isGone) return Promise.resolve(err(createFailure('staleRevision', 'gone')));
    if (!this.isDown) this.#leases.set(lease, this.#clock.now() + 3000);
    return Promise.resolve(this.#check().map(() => ({ lease, ttlMs: 3000 })));
  }

  public override revokeLease(lease: string): Promise<Result<void, Failure>> {
    this.#leases.set(lease, 0);
    this.#expire();
    return Promise.resolve(this.#check().map(() => undefined));
  }

  public override watch(key: string): Promise<Result<StoreValue, Failure>> {
    return this.read(key);
  }

  #check(isDown = this.isDown): Result<void, Failure> {
    return isDown ? err(createFailure('storeUnavailable', 'down')) : ok(undefined);
  }

  #peek(key: string): StoreValue {
    const known = this.#values.get(key);
    if (known?.value === undefined) return { key, version: 0 };
    return { key, value: known.value, version: known.version };
  }

  #expire(): void {
    for (const [lease, endsAt] of this.#leases) {
      if (this.#clock.now() < endsAt) continue;
      this.#leases.delete(lease);
      for (const entry of this.#values.values()) if (entry.lease === lease) delete entry.value;
    }
  }
}
