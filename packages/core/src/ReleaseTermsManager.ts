import { validators, type Failure, type ReleaseTerms } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { createRecordDecoder } from './createRecordDecoder.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';

/** What the keeper works with. */
interface ReleaseTermsDependencies {
  readonly store: Store;
  readonly random: RandomSource;
}

const createText = (queues: ReadonlyMap<string, number>): string =>
  JSON.stringify([...queues].sort(([left], [right]) => left.localeCompare(right)));

/**
 * Keeps the record of what the owners of a shard promise to other data centres. Both sides read the times
 * from this record, because a data centre that is cut off may have an older document than the others.
 */
export class ReleaseTermsManager {
  readonly #dependencies: ReleaseTermsDependencies;
  readonly #shard: string;
  #stored: ReadonlyMap<string, number> = new Map();
  /** Times of a write that may have taken effect. */
  #pendingWrite: ReadonlyMap<string, number> = new Map();
  #version: number | undefined;

  /**
   * @param parts - what the keeper works with
   * @param shard - name of the shard
   */
  public constructor(parts: ReleaseTermsDependencies, shard: string) {
    this.#dependencies = parts;
    this.#shard = shard;
  }

  /** Shortest time per queue, in milliseconds, that others may rely on. */
  public get published(): ReadonlyMap<string, number> {
    const published = new Map(this.#stored);
    for (const [queue, ms] of this.#pendingWrite) {
      published.set(queue, Math.min(ms, published.get(queue) ?? Infinity));
    }
    return published;
  }

  /** Version of the record. */
  public get version(): number {
    return this.#version ?? 0;
  }

  /**
   * Checks whether the record says the same as the document.
   *
   * @param releases - milliseconds per queue
   * @returns true if it certainly does
   */
  public isUpToDate(releases: ReadonlyMap<string, number>): boolean {
    const isSettled = this.#version !== undefined && this.#pendingWrite.size === 0;
    return isSettled && createText(this.#stored) === createText(releases);
  }

  /**
   * Reads the record.
   *
   * @returns nothing, or the failure
   */
  public async read(): Promise<Result<void, Failure>> {
    const stored = await this.#dependencies.store.read(`releaseTerms/${this.#shard}`);
    return stored.andThen((value) =>
      createRecordDecoder(validators.ReleaseTerms)(value).map((record) => {
        this.#stored = new Map(Object.entries(record?.queues ?? {}));
        this.#pendingWrite = new Map();
        this.#version = value.version;
      }),
    );
  }

  /**
   * Brings the record in step with the document.
   *
   * @param releases - milliseconds per queue
   * @returns true once the record says the same
   */
  public async write(releases: ReadonlyMap<string, number>): Promise<boolean> {
    if (this.#version === undefined || this.#pendingWrite.size > 0) {
      if ((await this.read()).isErr()) return false;
    }
    if (this.isUpToDate(releases)) return true;
    const token = this.#dependencies.random.token();
    const record: ReleaseTerms = {
      shard: this.#shard,
      token,
      queues: Object.fromEntries(releases),
    };
    this.#pendingWrite = releases;
    const key = `releaseTerms/${this.#shard}`;
    const text = JSON.stringify(record);
    const written = await this.#dependencies.store.write(key, text, this.version);
    if (written.isErr()) {
      if (written.error.kind !== 'timeout') this.#version = undefined;
      return false;
    }
    this.#stored = releases;
    this.#pendingWrite = new Map();
    this.#version = written.value;
    return true;
  }
}
