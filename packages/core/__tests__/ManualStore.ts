import type { Failure, StoreLease, StoreValue } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure, Store } from '../src/index.js';
import type { StoreCallOutcome } from './StoreCallOutcome.js';

/** Store with one key in which a test determines when each call takes effect and returns. */
export class ManualStore extends Store {
  #value: string | undefined;
  #version = 0;
  #calls: readonly ((outcome: StoreCallOutcome) => void)[] = [];
  #late: readonly (() => void)[] = [];
  #writes = 0;

  /** Number of calls that were not answered yet. */
  public get pendingCalls(): number {
    return this.#calls.length;
  }

  /** Number of writes that took effect. */
  public get writes(): number {
    return this.#writes;
  }

  /**
   * Completes the oldest call.
   *
   * @param outcome - what happens to the call
   */
  public completeNext(outcome: StoreCallOutcome): void {
    const [call, ...rest] = this.#calls;
    this.#calls = rest;
    call?.(outcome);
  }

  /** Delivers the oldest late answer, or applies the oldest late write. */
  public completeNextLate(): void {
    const [apply, ...rest] = this.#late;
    this.#late = rest;
    apply?.();
  }

  /** {@inheritDoc Store.read} */
  public override read(key: string): Promise<Result<StoreValue, Failure>> {
    return new Promise((resolve) => {
      this.#calls = [
        ...this.#calls,
        (outcome): void => {
          const value = this.#value === undefined ? {} : { value: this.#value };
          const found = { key, version: this.#version, ...value };
          if (outcome === 'done') resolve(ok(found));
          else if (outcome === 'lateAnswer') {
            this.#late = [
              ...this.#late,
              (): void => {
                resolve(ok(found));
              },
            ];
          } else resolve(err(createFailure('storeUnavailable', 'no answer')));
        },
      ];
    });
  }

  /** {@inheritDoc Store.write} */
  public override write(
    _key: string,
    value: string | undefined,
    ifVersion: number,
  ): Promise<Result<number, Failure>> {
    return new Promise((resolve) => {
      const apply = (): Result<number, Failure> => {
        if (ifVersion !== this.#version) return err(createFailure('storeConflict', 'changed'));
        this.#value = value;
        this.#version += 1;
        this.#writes += 1;
        return ok(this.#version);
      };
      const call = (outcome: StoreCallOutcome): void => {
        if (outcome === 'down') resolve(err(createFailure('storeUnavailable', 'down')));
        else if (outcome === 'done') resolve(apply());
        else if (outcome === 'lateAnswer') {
          const result = apply();
          this.#late = [
            ...this.#late,
            (): void => {
              resolve(result);
            },
          ];
        } else {
          if (outcome === 'lostAnswer') apply();
          else this.#late = [...this.#late, apply];
          resolve(err(createFailure('timeout', 'no answer')));
        }
      };
      this.#calls = [...this.#calls, call];
    });
  }

  /** {@inheritDoc Store.list} */
  public override list(): Promise<Result<readonly StoreValue[], Failure>> {
    return Promise.resolve(ok([]));
  }

  /** {@inheritDoc Store.grantLease} */
  public override grantLease(): Promise<Result<StoreLease, Failure>> {
    return Promise.resolve(err(createFailure('storeUnavailable', 'not used')));
  }

  /** {@inheritDoc Store.renewLease} */
  public override renewLease(): Promise<Result<StoreLease, Failure>> {
    return this.grantLease();
  }

  /** {@inheritDoc Store.revokeLease} */
  public override revokeLease(): Promise<Result<void, Failure>> {
    return Promise.resolve(ok(undefined));
  }

  /** {@inheritDoc Store.watch} */
  public override watch(key: string): Promise<Result<StoreValue, Failure>> {
    return this.read(key);
  }
}
